package raft

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"
)

// registerInput is a write of a value, or a read.
type registerInput struct {
	write bool
	value int
}

// readBarrier is proposed by reads, so that only a member that still leads answers.
type readBarrier struct{ number int }

var registerModel = porcupine.Model{
	Init: func() any { return 0 },
	Step: func(state, input, output any) (bool, any) {
		in := input.(registerInput)
		if in.write {
			return true, in.value
		}
		return output == nil || output.(int) == state.(int), state
	},
}

// pendingOperation is a proposal whose fate is not known yet.
type pendingOperation struct {
	operation porcupine.Operation
	member    MemberID
	index     uint64
	term      uint64
}

// register drives a group as a replicated register and records the history.
type register struct {
	*network
	random  *rand.Rand
	values  map[MemberID]int
	pending []pendingOperation
	history []porcupine.Operation
	// readWithoutQuorum takes the guard away: reads answer from local state.
	readWithoutQuorum bool
	next              int
}

func (r *register) clock() int64 { return r.now.UnixNano() }

// step delivers messages and completes the operations that were decided.
func (r *register) step() {
	r.now = r.now.Add(10 * time.Millisecond)
	for _, id := range r.order {
		if !r.down[id] {
			r.members[id].Tick(r.now)
		}
	}
	for range 4 {
		r.exchange()
	}
}

func (r *register) exchange() {
	var messages []Message
	for _, id := range r.order {
		ready := r.members[id].TakeReady()
		for _, entry := range ready.Committed {
			if value, isWrite := entry.Command.(int); isWrite {
				r.values[id] = value
			}
			r.complete(id, entry)
		}
		messages = append(messages, ready.Messages...)
	}
	for _, message := range messages {
		lost := r.random.IntN(20) == 0
		if lost || r.down[message.To] || r.down[message.From] || r.cut[[2]MemberID{message.From, message.To}] {
			continue
		}
		r.members[message.To].Step(r.now, message)
	}
}

func (r *register) complete(member MemberID, entry Entry) {
	for i, waiting := range r.pending {
		if waiting.member != member || waiting.index != entry.Index {
			continue
		}
		r.pending = append(r.pending[:i], r.pending[i+1:]...)
		if waiting.term != entry.Term {
			return // another entry took its place: it never happened
		}
		waiting.operation.Return = r.clock()
		if !waiting.operation.Input.(registerInput).write {
			waiting.operation.Output = r.values[member]
		}
		r.history = append(r.history, waiting.operation)
		return
	}
}

// propose lets a client ask whichever member believes that it leads.
func (r *register) propose(client int) {
	for _, place := range r.random.Perm(len(r.order)) {
		id := r.order[place]
		if r.down[id] || r.members[id].Role() != Leader {
			continue
		}
		r.next++
		input := registerInput{write: r.random.IntN(2) == 0, value: r.next}
		operation := porcupine.Operation{ClientId: client, Input: input, Call: r.clock()}
		if !input.write && r.readWithoutQuorum {
			operation.Output, operation.Return = r.values[id], r.clock()+1
			r.history = append(r.history, operation)
			return
		}
		var command any = input.value
		if !input.write {
			command = readBarrier{r.next}
		}
		if index, term, accepted := r.members[id].Propose(r.now, command); accepted {
			r.pending = append(r.pending, pendingOperation{operation, id, index, term})
		}
		return
	}
}

// disturb takes a member away for a while, or brings all back.
func (r *register) disturb() {
	victim := r.order[r.random.IntN(len(r.order))]
	switch r.random.IntN(3) {
	case 0:
		r.down[victim] = true
	case 1:
		for _, other := range r.order {
			r.cut[[2]MemberID{other, victim}] = true
			r.cut[[2]MemberID{victim, other}] = r.random.IntN(2) == 0
		}
	default:
		clear(r.down)
		clear(r.cut)
	}
}

func runRegister(seed uint64, readWithoutQuorum bool) []porcupine.Operation {
	r := &register{
		network: newNetwork(5), random: rand.New(rand.NewPCG(seed, 9)),
		values: map[MemberID]int{}, readWithoutQuorum: readWithoutQuorum,
	}
	for step := range 1200 {
		if step%60 == 0 {
			r.disturb()
		}
		if step%12 == 0 {
			r.propose(step)
		}
		r.step()
	}
	// What was never decided may still have happened, at any time.
	for _, waiting := range r.pending {
		if waiting.operation.Input.(registerInput).write {
			waiting.operation.Return = math.MaxInt64
			r.history = append(r.history, waiting.operation)
		}
	}
	return r.history
}

func TestLogIsLinearizable(t *testing.T) {
	for seed := uint64(1); seed <= 25; seed++ {
		history := runRegister(seed, false)
		require.Greater(t, len(history), 20, "seed %d", seed)
		require.True(t, porcupine.CheckOperations(registerModel, history), "seed %d", seed)
	}
}

func TestReadsWithoutAQuorumAreCaught(t *testing.T) {
	for seed := uint64(1); seed <= 25; seed++ {
		if !porcupine.CheckOperations(registerModel, runRegister(seed, true)) {
			t.Logf("seed %d", seed)
			return
		}
	}
	t.Fatal("no seed showed a stale read")
}
