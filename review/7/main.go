//go:build review2

// Command 7 shows that replicas lose their whole logs to snapshots that no restart can read. Clients send turns whose bodies
// are long, but shorter than the limits of the configuration allow. Then the processes are killed at one moment and come
// back. It is checked whether the turns that were answered whole can be continued.
package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"swiftbank.dev/swiftbank/platform/platformtest"
	"swiftbank.dev/swiftbank/review/stage"
)

const (
	// inputBytes is the length of a turn's input; maxBodyBytes is what the configuration allows.
	inputBytes, maxBodyBytes = 266 << 10, 4 << 20
	turns, turnsPerSecond    = 275, 14
	// A turn has 4 events of tokensPerEvent tokens, and may have maxTokens.
	tokensPerEvent, maxTokens, budget = 9, 40, 200
	// recoverySeconds is recovery_s of the site.
	recovery, lastTries = 12 * time.Second, 4 * time.Second
	retentionSeconds    = 60
	asked               = 20
	down                = 500 * time.Millisecond
)

// fixture is the deployment with its stand-ins.
type fixture struct {
	fleet   *stage.Fleet
	record  *stage.Record
	config  platformtest.Configuration
	engines []*platformtest.Engine
}

func main() { os.Exit(run()) }

// run returns 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
func run() int {
	if len(os.Args) != 2 {
		return stage.CouldNotRun
	}
	record, err := stage.NewRecord(os.Args[1])
	if err != nil {
		return stage.CouldNotRun
	}
	defer record.Close()
	f, err := newFixture(record)
	if err != nil {
		record.Note("the case could not run: %v", err)
		return stage.CouldNotRun
	}
	defer f.close()
	kept := f.keepTurns()
	if len(kept) < asked {
		record.Note("the case could not run: only %d turns were answered whole", len(kept))
		return stage.CouldNotRun
	}
	spent := f.spendBudget()
	time.Sleep(7 * time.Second) // the logs are rotated
	f.noteLogs()
	f.config.Version++
	f.fleet.Store.Put("config", "main", f.config)
	if os.Getenv("TROUBLE") != "0" {
		if err := f.killAll(); err != nil {
			record.Note("the case could not run: %v", err)
			return stage.CouldNotRun
		}
	}
	lost, served, sent := f.continueTurns(kept[len(kept)-asked:])
	f.checkBudget(spent)
	record.Note("LOST: of %d turns that were answered whole less than %d s ago, %d reached no engine by recovery_s, nor in the %v after it; of %d first turns sent in these, %d were served",
		asked, retentionSeconds, lost, lastTries, sent, served)
	if lost > 0 && 5*served >= 4*sent {
		return stage.Broken
	}
	return stage.Held
}

func newFixture(record *stage.Record) (*fixture, error) {
	fleet, err := stage.New(stage.Layout{Gateways: 2, Replicas: 3, GatewayMemoryMB: 284, ReplicaMemoryMB: 304, DiskMB: 270})
	if err != nil {
		return nil, err
	}
	f := &fixture{fleet: fleet, record: record}
	for number := range 3 {
		engine := platformtest.NewEngine(fmt.Sprintf("i-engine-%d", number+1))
		engine.EventInterval = 20 * time.Millisecond
		f.engines = append(f.engines, engine)
		fleet.Store.Put("servers", engine.ID, engine.Entry("llm", stage.Zones[number], "ready"))
	}
	f.config = platformtest.Configuration{
		Version: 1,
		Routes: []map[string]any{{
			"name": "chat", "host": "agents.test", "path_prefix": "/chat/", "kind": "streaming", "timeout_ms": 4000, "target_latency_ms": 200, "priority": 1,
			"service": "llm", "attempts": 1, "is_retained": true, "retention_s": retentionSeconds, "sticky": true, "target_gap_ms": 200,
		}},
		Services: []map[string]any{{"name": "llm", "connection_limit": 160, "engine": map[string]any{"slots": 12, "kv_cache_tokens": 127559, "tokens_per_event": tokensPerEvent}}},
		Limits:   map[string]any{"max_header_bytes": 16384, "max_body_bytes": maxBodyBytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
	fleet.Store.Put("config", "main", f.config)
	if err := fleet.StartAll(); err != nil {
		f.close()
		return nil, err
	}
	for attempt := range 60 {
		if f.send(attempt, stage.Turn{ID: fmt.Sprintf("warm%d", attempt), Program: fmt.Sprintf("warm%d", attempt), Input: []byte("hello")}).IsWhole() {
			return f, nil
		}
		time.Sleep(250 * time.Millisecond)
	}
	f.close()
	return nil, fmt.Errorf("no turn is served")
}

func (f *fixture) close() {
	f.fleet.Close()
	for _, engine := range f.engines {
		engine.Close()
	}
}

// send sends a turn to one of the gateways, and records the answer.
func (f *fixture) send(number int, turn stage.Turn) stage.Answer {
	turn.Path, turn.MaxTokens, turn.Budget = "/chat/x", maxTokens, budget
	gateway := f.fleet.Gateways[number%len(f.fleet.Gateways)]
	answer := stage.SendTurn(gateway, turn)
	f.record.Note("turn %s of program %s after %q, %d bytes, to %s: %s", turn.ID, turn.Program, turn.Previous, len(turn.Input), gateway.Name, answer)
	return answer
}

// keepTurns sends first turns of programs, and returns those that were answered whole.
func (f *fixture) keepTurns() []stage.Turn {
	var mu sync.Mutex
	var kept []stage.Turn
	var sending sync.WaitGroup
	text := bytes.Repeat([]byte("the offer history of a participant "), inputBytes/35+1)[:inputBytes]
	ticker := time.NewTicker(time.Second / turnsPerSecond)
	defer ticker.Stop()
	for number := range turns {
		<-ticker.C
		turn := stage.Turn{ID: fmt.Sprintf("turn%06d", number), Program: fmt.Sprintf("program%06d", number), Input: append(fmt.Appendf(nil, "%06d ", number), text...)}
		sending.Go(func() {
			if f.send(number, turn).IsWhole() {
				mu.Lock()
				kept = append(kept, turn)
				mu.Unlock()
			}
		})
	}
	sending.Wait()
	f.record.Note("%d of %d turns with %d bytes of input were answered whole", len(kept), turns, inputBytes)
	return kept
}

// spendBudget takes turns of one program until it is told that its budget is spent, and returns the number of tokens that
// were handed out.
func (f *fixture) spendBudget() (tokens int) {
	for number := range 12 {
		answer := f.send(number, stage.Turn{ID: fmt.Sprintf("spend%02d", number), Program: "spender", Input: []byte("spend")})
		if answer.Status == 402 {
			break
		}
		tokens += answer.Events * tokensPerEvent
	}
	f.record.Note("the program spender has a budget of %d tokens and was handed %d", budget, tokens)
	return tokens
}

// checkBudget takes further turns of the program and records whether it gets more tokens than its budget and the most of
// one turn. This is not the rule that the case is about.
func (f *fixture) checkBudget(tokens int) {
	for number := range 12 {
		tokens += tokensPerEvent * f.send(number, stage.Turn{ID: fmt.Sprintf("again%02d", number), Program: "spender", Input: []byte("spend")}).Events
	}
	f.record.Note("BUDGET: the program spender was handed %d tokens in all; its budget and the most of one turn are %d", tokens, budget+maxTokens)
}

// noteLogs records the files of the replicas' logs, and how much memory they took.
func (f *fixture) noteLogs() {
	for _, replica := range f.fleet.Replicas {
		files, _ := filepath.Glob(filepath.Join(f.fleet.Folder, replica.Name, "ledger", "*"))
		for _, file := range files {
			if info, err := os.Stat(file); err == nil {
				f.record.Note("%s: %s has %d bytes; %s", replica.Name, filepath.Base(file), info.Size(), replica.Peak())
			}
		}
	}
}

// killAll kills all processes at one moment and starts them again.
func (f *fixture) killAll() error {
	processes := f.fleet.Processes()
	f.record.Note("all processes are killed")
	for _, process := range processes {
		process.Signal(syscall.SIGKILL)
	}
	for _, process := range processes {
		process.Kill()
	}
	time.Sleep(down)
	for _, process := range processes {
		if err := f.fleet.Start(process); err != nil {
			return err
		}
	}
	f.record.Note("all processes are started again after %v", down)
	return nil
}

// continueTurns goes on from turns, again and again until that succeeds, until recovery_s and some seconds more are over.
// It returns how many could not be continued, and of the first turns that were sent meanwhile after recovery_s how many
// were served.
func (f *fixture) continueTurns(kept []stage.Turn) (lost int, served, sent int64) {
	back := time.Now()
	var mu sync.Mutex
	reached := map[string]bool{}
	var firstServed, firstSent atomic.Int64
	for round := 0; time.Since(back) < recovery+lastTries; round++ {
		isLate := time.Since(back) >= recovery
		var tries sync.WaitGroup
		for index, turn := range kept {
			if !reached[turn.ID] {
				tries.Go(func() {
					next := stage.Turn{ID: fmt.Sprintf("next%03d-%02d", round, index), Program: turn.Program, Previous: turn.ID, Input: []byte("go on")}
					if f.send(round+index, next).IsWhole() {
						mu.Lock()
						reached[turn.ID] = true
						mu.Unlock()
					}
				})
			}
			if !isLate {
				continue
			}
			tries.Go(func() {
				name := fmt.Sprintf("first%03d-%02d", round, index)
				firstSent.Add(1)
				if f.send(round+index, stage.Turn{ID: name, Program: name, Input: []byte("begin")}).IsWhole() {
					firstServed.Add(1)
				}
			})
		}
		tries.Wait()
		time.Sleep(400 * time.Millisecond)
	}
	for _, turn := range kept {
		if !reached[turn.ID] {
			lost++
		}
	}
	return lost, firstServed.Load(), firstSent.Load()
}
