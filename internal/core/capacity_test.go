package core

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"runtime"
	"testing"
	"time"

	"swiftbank.dev/swiftbank/internal/membership"
	"swiftbank.dev/swiftbank/internal/raft"
	"swiftbank.dev/swiftbank/internal/shard"
	"swiftbank.dev/swiftbank/internal/topology"
	"swiftbank.dev/swiftbank/internal/verdict"
)

// idleSession returns a session with finished calls and next to no history.
func idleSession(number, calls int) *shard.Session {
	key := shard.SessionKey{Tenant: "coop-riga", Session: fmt.Sprintf("session-%09d", number)}
	session := &shard.Session{Key: key, Template: "rider-assistant", Engines: []string{"engine-001"}}
	for sequence := 1; sequence <= calls; sequence++ {
		session.Calls = append(session.Calls, &shard.Call{
			Request: shard.Request{
				ID: shard.CallID{Key: key, Sequence: uint64(sequence)}, Template: session.Template,
				IdempotencyKey: fmt.Sprintf("%s-%d", key.Session, sequence), Kind: shard.EngineCall,
				Ask: "node-001#1800000000000000000/12345", Service: "agent-llm", Model: "assistant-8b",
			},
			Attempt: 1, StreamAttempt: 1, BackEnd: "engine-001", Dispatcher: "node-001#1800000000000000000",
			Outcome: &shard.Outcome{Verdict: verdict.Ran, Status: 200},
		})
	}
	return session
}

// BenchmarkIdleProgramState reports the control state of an idle program: one
// session with one finished call, without the text of its history.
func BenchmarkIdleProgramState(b *testing.B) {
	for b.Loop() {
		const sessions = 100_000
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		state := shard.NewState(1)
		for number := range sessions {
			session := idleSession(number, 1)
			state.Sessions[session.Key] = session
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/sessions, "B/program")
		runtime.KeepAlive(state)
	}
}

// BenchmarkTakeover reports what it costs a new leader to take over a shard with
// idle programs and one in a hundred in the middle of a call.
func BenchmarkTakeover(b *testing.B) {
	for _, programs := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprint(programs), func(b *testing.B) {
			layout, err := topology.New([]topology.Node{{ID: "a", Zone: "z", Address: "0.0.0.0:0"}}, 1)
			if err != nil {
				b.Fatal(err)
			}
			node := New(Config{Node: "a", Incarnation: 1, Topology: layout, Timeouts: DefaultTimeouts()})
			g := node.addGroup(0, raft.Membership{})
			for number := range programs {
				session := idleSession(number, 1)
				g.state.Sessions[session.Key] = session
				if number%100 == 0 {
					session.Calls[0].Outcome = nil
					g.state.Open[session.Key] = true
				}
			}
			now := time.Unix(1000, 0)
			for b.Loop() {
				node.takeOver(now, g)
				node.actions = nil
			}
		})
	}
}

// BenchmarkHeartbeatBytes reports the size of a heartbeat on a peer connection.
func BenchmarkHeartbeatBytes(b *testing.B) {
	RegisterGob()
	var wire bytes.Buffer
	encoder := gob.NewEncoder(&wire)
	envelope := Envelope{From: "riga-17", Incarnation: 1_800_000_000_000_000_000, Sequence: 1_000_000, Message: membership.Heartbeat{
		Incarnation: 1_800_000_000_000_000_000, Formed: true, ConfigRevision: 1_000_000, MachinesVersion: 1_800_000_000_000, WholeShards: 2,
	}}
	for b.Loop() {
		if err := encoder.Encode(envelope); err != nil {
			b.Fatal(err)
		}
		wire.Reset()
		if err := encoder.Encode(envelope); err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(wire.Len()), "B/heartbeat")
	}
}
