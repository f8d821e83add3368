package feed

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"testing"
	"time"

	"swiftbank.dev/swiftbank/internal/backend"
)

// BenchmarkPoll measures the time and the bytes on the wire of a poll without changes. It
// counts the second message of a connection, after gob has sent the type descriptions.
func BenchmarkPoll(b *testing.B) {
	var positions Positions
	for kind := range positions {
		positions[kind] = Position{Known: true, At: 1 << 20}
	}
	request := Request{Node: "frontend-zone-123", Positions: positions}
	reply := Reply{Positions: positions, Status: Status{Confirmed: true, Age: time.Second}}
	bytesOf := func(message any) int {
		var wire bytes.Buffer
		encoder := gob.NewEncoder(&wire)
		_ = encoder.Encode(message)
		first := wire.Len()
		_ = encoder.Encode(message)
		return wire.Len() - first
	}
	var wire bytes.Buffer
	encoder := gob.NewEncoder(&wire)
	for b.Loop() {
		wire.Reset()
		_ = encoder.Encode(request)
		_ = encoder.Encode(reply)
	}
	b.ReportMetric(float64(bytesOf(request)), "B/request")
	b.ReportMetric(float64(bytesOf(reply)), "B/reply")
}

// BenchmarkInstanceChange measures the cost of a change of one instance for an upstream with
// 10,000 instances and one follower.
func BenchmarkInstanceChange(b *testing.B) {
	const instances = 10000
	core := NewCore[string](CoreOptions{Node: "r", Zone: "z", ReadDelay: func(int, int) time.Duration { return 0 }})
	var records []Record
	for i := range instances {
		name := fmt.Sprintf("i-%08x", i)
		records = append(records, Record{Name: name, Revision: 1, Instance: &backend.Instance{ID: name, Service: "agent-llm", Address: "10.1.2.3:8344", Zone: "zone", Slots: 6}})
	}
	core.HandleStoreBatch(begin, Batch{Kind: Instances, Snapshot: true, At: 1, Records: records})
	at := uint64(1)
	for b.Loop() {
		changed := records[int(at)%instances]
		changed.Revision = at + 1
		core.HandlePoll(begin, "g", Request{Positions: core.Cache().Positions()})
		core.HandleStoreBatch(begin, Batch{Kind: Instances, After: at, At: at + 1, Records: []Record{changed}})
		at++
	}
	var wire bytes.Buffer
	encoder := gob.NewEncoder(&wire)
	one := Reply{Batches: []Batch{{Kind: Instances, After: 1, At: 2, Records: records[:1]}}}
	_ = encoder.Encode(one)
	first := wire.Len()
	_ = encoder.Encode(one)
	b.ReportMetric(float64(wire.Len()-first), "B/change")
}
