package ledger

import (
	"maps"
	"slices"
	"time"

	"swiftbank.dev/swiftbank/internal/replicaset"
)

const (
	// retentionMargin is added to every retention, for the clocks of callers and
	// replicas start at different moments.
	retentionMargin = 15 * time.Second
	// leastRetention holds for charges of programs that name less.
	leastRetention = 2 * time.Minute
	// maxChain bounds the length of a chain of turns.
	maxChain = 4096
)

// State is the content of one replica. It is not safe for concurrent use.
type State struct {
	disk string
	boot string
	set  replicaset.Set
	// turns holds every turn by id.
	turns map[string]*storedTurn
	// order lists turn ids as they were stored; orderBase counts those dropped.
	order     []string
	orderBase int
	programs  map[string]*program
	// chargeOrder is the order in which charges changed.
	chargeOrder chargeOrder
	// peers is how far each other disk has stored this replica's turns durably.
	peers map[string]int
	bytes int64
}

type storedTurn struct {
	turn Turn
	// until is when the turn may be dropped. A chain's older turns live at least as
	// long as the newer ones.
	until time.Time
}

type program struct {
	// charges are in the order of their turns. Most programs have few: a map takes ten times
	// the memory of one charge.
	charges   []Charge
	retention time.Duration
	until     time.Time
}

// NewState returns an empty replica. boot tells this life of the process from
// earlier ones.
func NewState(disk, boot string) *State {
	return &State{
		disk: disk, boot: boot,
		turns: map[string]*storedTurn{}, programs: map[string]*program{}, peers: map[string]int{},
	}
}

// Disk returns the identity of the disk.
func (s *State) Disk() string { return s.disk }

// Set returns the adopted membership.
func (s *State) Set() replicaset.Set { return s.set }

// Size returns the number of turns, of programs, and the bytes of turns.
func (s *State) Size() (turns, programs int, bytes int64) {
	return len(s.turns), len(s.programs), s.bytes
}

// Position returns the place of the newest stored turn in the inventory.
func (s *State) Position() int { return s.orderBase + len(s.order) }

// PeerPosition returns how far a disk confirmed that it has stored this replica's
// turns.
func (s *State) PeerPosition(disk string) int { return s.peers[disk] }

// Output is what the owner must do after a step: send the replies of Now at once,
// append and sync the records, then send the replies of Durable.
type Output struct {
	Immediate []Reply
	Records   []Record
	AfterSync []Reply
}

// Step applies one request.
func (s *State) Step(now time.Time, request Request) Output {
	switch {
	case request.Reserve != nil:
		return s.reserve(now, request)
	case request.Commit != nil:
		return s.commit(now, request)
	case request.Adopt != nil:
		return s.adopt(request)
	case request.Inventory != nil:
		return s.inventory(request)
	case request.Fetch != nil:
		return s.fetch(request)
	case request.Chain != nil:
		return s.wholeChain(now, request)
	default:
		return Output{}
	}
}

func (s *State) reply(number uint64) Reply {
	return Reply{Number: number, Disk: s.disk, Epoch: s.set.Epoch}
}

func (s *State) reserve(now time.Time, request Request) Output {
	reply := s.reply(request.Number)
	if request.Epoch < s.set.Epoch {
		set := s.set
		reply.Stale = &set
		return Output{Immediate: []Reply{reply}}
	}
	asked := request.Reserve
	answer := &ReserveReply{}
	reply.Reserve = answer
	var output Output
	if asked.Program != "" {
		output.Records = s.charge(now, ProgramCharge{Program: asked.Program, Charge: asked.Charge, Retention: asked.Retention})
		answer.Recorded = true
		answer.Charges = s.chargesOf(asked.Program)
		durable := s.reply(request.Number)
		durable.Durable = true
		output.AfterSync = []Reply{durable}
	}
	switch stored := s.turns[asked.History]; {
	case asked.History == "":
	case stored != nil && stored.turn.Tenant != asked.Tenant:
		answer.Foreign = true
	default:
		answer.History, answer.Instance, answer.Found = s.history(now, asked.History)
		answer.Missing = !answer.Found
	}
	output.Immediate = []Reply{reply}
	return output
}

func (s *State) chargesOf(name string) []Charge {
	known := s.programs[name]
	if known == nil {
		return nil
	}
	return slices.Clone(known.charges)
}

// charge merges one charge and returns the records that make it durable.
func (s *State) charge(now time.Time, added ProgramCharge) []Record {
	known := s.programs[added.Program]
	if known == nil {
		known = &program{}
		s.programs[added.Program] = known
	}
	known.retention = max(known.retention, added.Retention, leastRetention)
	known.until = now.Add(known.retention + retentionMargin)
	merged, changed := known.merge(added.Charge)
	if !changed {
		return nil
	}
	s.chargeOrder.add(added.Program, merged)
	return []Record{{Charge: &added}}
}

// MergeCharge returns the charge that holds after another one became known, and whether
// it differs from the known one. A final charge replaces a reservation; of two
// final ones the larger holds.
func MergeCharge(known map[string]Charge, charge Charge) (Charge, bool) {
	old, exists := known[charge.Turn]
	if !exists {
		return charge, true
	}
	return later(old, charge)
}

// later returns which of two charges of a turn holds, and whether it is the second one.
func later(old, charge Charge) (Charge, bool) {
	switch {
	case old.Final != charge.Final:
		return charge, charge.Final
	case charge.Tokens > old.Tokens:
		return charge, true
	default:
		return old, false
	}
}

// indexOf returns the place of a turn's charge, or -1. The newest turns are asked for most.
func (p *program) indexOf(turn string) int {
	for index := len(p.charges) - 1; index >= 0; index-- {
		if p.charges[index].Turn == turn {
			return index
		}
	}
	return -1
}

// merge adds a charge and returns the one that holds, and whether anything changed.
func (p *program) merge(charge Charge) (Charge, bool) {
	index := p.indexOf(charge.Turn)
	if index < 0 {
		p.charges = append(p.charges, charge)
		return charge, true
	}
	merged, changed := later(p.charges[index], charge)
	if changed {
		p.charges[index] = merged
	}
	return merged, changed
}

// history returns the text of a chain: input and output of each turn, oldest
// first. A chain with a gap is not found.
func (s *State) history(now time.Time, id string) (text []byte, instance string, found bool) {
	chain, complete := s.chain(id)
	if !complete {
		return nil, "", false
	}
	size := 0
	for _, stored := range chain {
		size += len(stored.turn.Input) + len(stored.turn.Output)
		stored.until = maxTime(stored.until, now.Add(stored.turn.Retention+retentionMargin))
	}
	text = make([]byte, 0, size)
	for _, stored := range slices.Backward(chain) {
		text = append(text, stored.turn.Input...)
		text = append(text, stored.turn.Output...)
	}
	return text, chain[0].turn.Instance, true
}

// chain returns a turn and its ancestors, newest first.
func (s *State) chain(id string) (chain []*storedTurn, complete bool) {
	for id != "" {
		stored := s.turns[id]
		if stored == nil || len(chain) > maxChain {
			return chain, false
		}
		chain = append(chain, stored)
		id = stored.turn.Previous
	}
	return chain, true
}

func (s *State) commit(now time.Time, request Request) Output {
	var output Output
	for _, ancestor := range request.Commit.Ancestors {
		output.Records = append(output.Records, s.store(now, ancestor)...)
	}
	if turn := request.Commit.Turn; turn != nil {
		output.Records = append(output.Records, s.store(now, *turn)...)
	}
	if request.Commit.Program != "" {
		charge := ProgramCharge{Program: request.Commit.Program, Charge: request.Commit.Charge, Retention: request.Commit.Retention}
		output.Records = append(output.Records, s.charge(now, charge)...)
	}
	reply := s.reply(request.Number)
	reply.Durable = true
	output.AfterSync = []Reply{reply}
	return output
}

// store keeps a turn and lengthens the life of its chain.
func (s *State) store(now time.Time, turn Turn) []Record {
	if s.turns[turn.ID] != nil {
		return nil
	}
	until := now.Add(turn.Retention + retentionMargin)
	s.turns[turn.ID] = &storedTurn{turn: turn, until: until}
	s.order = append(s.order, turn.ID)
	s.bytes += int64(len(turn.Input) + len(turn.Output))
	ancestors, _ := s.chain(turn.Previous)
	for _, ancestor := range ancestors {
		ancestor.until = maxTime(ancestor.until, until)
	}
	return []Record{{Turn: &turn}}
}

func (s *State) adopt(request Request) Output {
	var output Output
	if request.Adopt.Set.Epoch > s.set.Epoch {
		s.set = request.Adopt.Set
		set := s.set
		output.Records = []Record{{Set: &set}}
	}
	reply := s.reply(request.Number)
	reply.Durable = true
	switch {
	case request.Adopt.Charges > 0:
		charges, handover := s.handOver(request.Adopt.After, request.Adopt.Charges)
		reply.Charges, reply.Handover = charges, &handover
	case request.Adopt.WithCharges:
		reply.Charges = s.allCharges()
	}
	output.AfterSync = []Reply{reply}
	return output
}

func (s *State) allCharges() []ProgramCharge {
	var all []ProgramCharge
	for _, name := range slices.Sorted(maps.Keys(s.programs)) {
		known := s.programs[name]
		for _, charge := range known.charges {
			all = append(all, ProgramCharge{Program: name, Charge: charge, Retention: known.retention})
		}
	}
	return all
}

// MergeCharges merges the charges of another replica.
func (s *State) MergeCharges(now time.Time, charges []ProgramCharge) []Record {
	var records []Record
	for _, charge := range charges {
		records = append(records, s.charge(now, charge)...)
	}
	return records
}

func (s *State) wholeChain(now time.Time, request Request) Output {
	reply := s.reply(request.Number)
	reply.Chain = true
	chain, complete := s.chain(request.Chain.ID)
	if complete {
		for _, stored := range chain {
			stored.until = maxTime(stored.until, now.Add(stored.turn.Retention+retentionMargin))
			reply.Turns = append(reply.Turns, stored.turn)
		}
	}
	return Output{Immediate: []Reply{reply}}
}

// Purge drops turns and programs whose retention is over.
func (s *State) Purge(now time.Time) {
	maps.DeleteFunc(s.turns, func(_ string, stored *storedTurn) bool {
		if now.Before(stored.until) {
			return false
		}
		s.bytes -= int64(len(stored.turn.Input) + len(stored.turn.Output))
		return true
	})
	maps.DeleteFunc(s.programs, func(_ string, known *program) bool { return !now.Before(known.until) })
	s.purgeChargeOrder()
	for len(s.order) > 0 && s.turns[s.order[0]] == nil {
		s.order = s.order[1:]
		s.orderBase++
	}
}

// Replay applies one record of the log at start.
func (s *State) Replay(now time.Time, record Record) {
	switch {
	case record.Disk != "":
		s.disk = record.Disk
	case record.Turn != nil:
		s.store(now, *record.Turn)
	case record.Charge != nil:
		s.charge(now, *record.Charge)
	case record.Set != nil && record.Set.Epoch > s.set.Epoch:
		s.set = *record.Set
	}
}

// Snapshot returns records that rebuild the state.
func (s *State) Snapshot() []Record {
	set := s.set
	records := []Record{{Disk: s.disk}, {Set: &set}}
	for _, id := range s.order {
		if stored := s.turns[id]; stored != nil {
			records = append(records, Record{Turn: &stored.turn})
		}
	}
	for _, charge := range s.allCharges() {
		records = append(records, Record{Charge: &charge})
	}
	return records
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
