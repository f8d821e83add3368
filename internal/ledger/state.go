package ledger

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"swiftbank.dev/swiftbank/internal/replicaset"
)

const (
	// retentionMargin is added to every retention, because callers and replicas start to
	// count it at different moments.
	retentionMargin = 15 * time.Second
	// minRetention is the shortest retention of a program's charges.
	minRetention = 2 * time.Minute
	// maxChainLength is the maximum number of turns in a chain.
	maxChainLength = 4096
)

// State is the content of one replica. It is not safe for concurrent use.
type State struct {
	disk string
	boot string
	// life is a hash of boot for the replies to reservations.
	life uint32
	set  replicaset.Set
	// settled is the newest epoch whose older charges are all here.
	settled uint64
	// turns holds the stored turns by id.
	turns map[string]*storedTurn
	// storedIDs lists the ids of turns in the order in which they were stored; trimmedIDs is the
	// number of ids that were trimmed from its front.
	storedIDs  []string
	trimmedIDs int
	programs   map[string]*program
	// quarantine lists the programs that record the runs of requests.
	quarantine quarantineLog
	// changeLog lists the charges in the order in which they changed.
	changeLog changeLog
	// peerPositions is the inventory position up to which each other disk has stored this replica's
	// turns durably.
	peerPositions map[string]int
	bytes         int64
}

type storedTurn struct {
	turn Turn
	// expiresAt is when the turn may be dropped. The ancestors of a turn are kept at least as
	// long as the turn.
	expiresAt time.Time
}

type program struct {
	// charges are in the order of their turns. A slice is used because most programs have few
	// charges, and a map takes ten times the memory of one charge.
	charges   []Charge
	retention time.Duration
	expiresAt time.Time
}

// NewState returns the state of a replica that has stored nothing yet. boot identifies this run of
// the process.
func NewState(disk, boot string) *State {
	return &State{
		disk: disk, boot: boot, life: uint32(xxhash.Sum64String(boot)),
		turns: map[string]*storedTurn{}, programs: map[string]*program{}, quarantine: newQuarantineLog(), peerPositions: map[string]int{},
	}
}

// Disk returns the identity of the disk.
func (s *State) Disk() string { return s.disk }

// Set returns the adopted membership.
func (s *State) Set() replicaset.Set { return s.set }

// Settled returns the newest epoch that this replica has settled: it holds every charge that a quorum of an older one
// accepted.
func (s *State) Settled() uint64 { return s.settled }

// Settle records that this replica has settled an epoch. The caller has made the record durable.
func (s *State) Settle(epoch uint64) { s.settled = max(s.settled, epoch) }

// Size returns the number of turns, the number of programs, and the bytes of the turns' input and
// output.
func (s *State) Size() (turns, programs int, bytes int64) {
	return len(s.turns), len(s.programs), s.bytes
}

// Position returns the position after the most recently stored turn in the inventory.
func (s *State) Position() int { return s.trimmedIDs + len(s.storedIDs) }

// PeerPosition returns the inventory position up to which a disk has confirmed that it stored
// this replica's turns.
func (s *State) PeerPosition(disk string) int { return s.peerPositions[disk] }

// ReplaceDisk gives the replica the identity of a disk that has answered for nothing yet. It keeps its turns and charges, and
// counts as settled in no epoch.
func (s *State) ReplaceDisk(disk string) { s.disk, s.settled = disk, 0 }

// Output is what the caller of Step must do: send the Immediate replies, append and sync the
// records, then send the AfterSync replies.
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
		return s.readChain(now, request)
	case request.ReadQuarantine != nil:
		return s.readQuarantine(request)
	default:
		return Output{}
	}
}

func (s *State) reply(number uint64) Reply {
	return Reply{Number: number, Disk: s.disk, Epoch: s.set.Epoch}
}

func (s *State) reserve(now time.Time, request Request) Output {
	reply := s.reply(request.Number)
	reply.Life = s.life
	if request.Epoch < s.set.Epoch {
		set := s.set
		reply.Stale = &set
		return Output{Immediate: []Reply{reply}}
	}
	query := request.Reserve
	answer := &ReserveReply{}
	reply.Reserve = answer
	var output Output
	if query.Program != "" {
		output.Records = s.charge(now, ProgramCharge{Program: query.Program, Charge: query.Charge, Retention: query.Retention})
		answer.Recorded = true
		answer.Charges = s.programCharges(query.Program)
		durable := s.reply(request.Number)
		durable.Life, durable.Durable = s.life, true
		output.AfterSync = []Reply{durable}
	}
	switch stored := s.turns[query.History]; {
	case query.History == "":
	case stored != nil && stored.turn.Tenant != query.Tenant:
		answer.Foreign = true
	default:
		answer.History, answer.Instance, answer.Found = s.history(now, query.History)
		answer.Missing = !answer.Found
	}
	output.Immediate = []Reply{reply}
	return output
}

func (s *State) programCharges(name string) []Charge {
	known := s.programs[name]
	if known == nil {
		return nil
	}
	return slices.Clone(known.charges)
}

// charge merges one charge, extends the retention of its program, and returns the records that
// make the charge durable.
func (s *State) charge(now time.Time, added ProgramCharge) []Record {
	known := s.programs[added.Program]
	if known == nil {
		known = &program{}
		s.programs[added.Program] = known
	}
	known.retention = max(known.retention, added.Retention, minRetention)
	known.expiresAt = now.Add(known.retention + retentionMargin)
	merged, changed := known.merge(added.Charge)
	if !changed {
		return nil
	}
	s.changeLog.add(added.Program, merged)
	if isQuarantineProgram(added.Program) {
		s.quarantine.add(added.Program)
	}
	return []Record{{Charge: &added}}
}

// history returns the text of a chain: input and output of each turn, oldest first. found is false
// for a chain with a gap. Reading a chain extends its retention.
func (s *State) history(now time.Time, id string) (text []byte, instance string, found bool) {
	chain, complete := s.chain(id)
	if !complete {
		return nil, "", false
	}
	size := 0
	for _, stored := range chain {
		size += len(stored.turn.Input) + len(stored.turn.Output)
		stored.expiresAt = maxTime(stored.expiresAt, now.Add(stored.turn.Retention+retentionMargin))
	}
	text = make([]byte, 0, size)
	for _, stored := range slices.Backward(chain) {
		text = append(text, stored.turn.Input...)
		text = append(text, stored.turn.Output...)
	}
	return text, chain[0].turn.Instance, true
}

// chain returns a turn and its ancestors, newest first. complete is false if an ancestor is missing
// or the chain is longer than maxChainLength.
func (s *State) chain(id string) (chain []*storedTurn, complete bool) {
	for id != "" {
		stored := s.turns[id]
		if stored == nil || len(chain) > maxChainLength {
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

// store adds a turn, unless it is stored already, and extends the retention of its ancestors. It
// returns the records that make the turn durable.
func (s *State) store(now time.Time, turn Turn) []Record {
	if s.turns[turn.ID] != nil {
		return nil
	}
	expiresAt := now.Add(turn.Retention + retentionMargin)
	s.turns[turn.ID] = &storedTurn{turn: turn, expiresAt: expiresAt}
	s.storedIDs = append(s.storedIDs, turn.ID)
	s.bytes += int64(len(turn.Input) + len(turn.Output))
	ancestors, _ := s.chain(turn.Previous)
	for _, ancestor := range ancestors {
		ancestor.expiresAt = maxTime(ancestor.expiresAt, expiresAt)
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
	reply.Settled, reply.ReportsSettled = s.settled, true
	switch {
	case request.Adopt.Charges > 0:
		charges, handover := s.nextCharges(request.Adopt.After, request.Adopt.Charges)
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

// MergeCharges merges the charges of another replica and returns the records that make them
// durable.
func (s *State) MergeCharges(now time.Time, charges []ProgramCharge) []Record {
	var records []Record
	for _, charge := range charges {
		records = append(records, s.charge(now, charge)...)
	}
	return records
}

func (s *State) readChain(now time.Time, request Request) Output {
	reply := s.reply(request.Number)
	reply.Chain = true
	chain, complete := s.chain(request.Chain.ID)
	if complete {
		for _, stored := range chain {
			stored.expiresAt = maxTime(stored.expiresAt, now.Add(stored.turn.Retention+retentionMargin))
			reply.Turns = append(reply.Turns, stored.turn)
		}
	}
	return Output{Immediate: []Reply{reply}}
}

// Purge drops turns and programs whose retention has ended.
func (s *State) Purge(now time.Time) {
	maps.DeleteFunc(s.turns, func(_ string, stored *storedTurn) bool {
		if now.Before(stored.expiresAt) {
			return false
		}
		s.bytes -= int64(len(stored.turn.Input) + len(stored.turn.Output))
		return true
	})
	maps.DeleteFunc(s.programs, func(_ string, known *program) bool { return !now.Before(known.expiresAt) })
	s.quarantine.drop(func(name string) bool { return s.programs[name] == nil })
	s.trimChangeLog()
	for len(s.storedIDs) > 0 && s.turns[s.storedIDs[0]] == nil {
		s.storedIDs = s.storedIDs[1:]
		s.trimmedIDs++
	}
}

// Replay applies one record of the log when the replica starts.
func (s *State) Replay(now time.Time, record Record) {
	switch {
	case record.Disk != "":
		s.disk = record.Disk
	case record.Turn != nil:
		s.store(now, *record.Turn)
	case record.Charge != nil:
		s.charge(now, *record.Charge)
	case record.Settled > 0:
		s.Settle(record.Settled)
	case record.Set != nil && record.Set.Epoch > s.set.Epoch:
		s.set = *record.Set
	}
}

// Snapshot returns records that rebuild the state.
func (s *State) Snapshot() []Record {
	set := s.set
	records := []Record{{Disk: s.disk}, {Set: &set}}
	if s.settled > 0 {
		records = append(records, Record{Settled: s.settled})
	}
	for _, id := range s.storedIDs {
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
