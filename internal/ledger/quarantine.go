package ledger

import (
	"strings"
	"time"

	"swiftbank.dev/swiftbank/internal/quarantine"
)

// The runs of a request are recorded as charges without tokens, under a program of the request's key. They
// are therefore merged, stored, handed over and dropped like all charges.

// quarantinePrefix begins the names of such programs. No caller can send one: a header cannot contain a zero
// byte.
const quarantinePrefix = "\x00quarantine "

// QuarantinePosition is how far a gateway has read the recorded runs of a replica. The zero value is the start.
type QuarantinePosition struct {
	// Boot identifies one run of the replica's process; positions are only comparable within a run.
	Boot string
	// Position counts the changes.
	Position uint64
}

// IsBefore reports whether changes lie between the position and the next one. Of another run, all changes before the next one do.
func (p QuarantinePosition) IsBefore(next QuarantinePosition) bool {
	if p.Boot != next.Boot {
		return next.Position > 0
	}
	return p.Position < next.Position
}

// ReadQuarantine requests the recorded runs of requests that changed after a position.
type ReadQuarantine struct {
	// MaxRuns bounds the runs in a reply; a reply has one request at least.
	MaxRuns int
	// After is the position up to which the reader knows the runs.
	After QuarantinePosition
	// Follow is how long the replica sends further replies as runs change; 0 requests one reply only. Follower identifies
	// the process that does so, and Renewal numbers its requests.
	Follow   time.Duration
	Follower string
	Renewal  uint64
	// Leave is set in the last request of a process that has ended all its requests.
	Leave bool
}

// QuarantineReply lists the requests with recorded runs that changed between two positions.
type QuarantineReply struct {
	Records []quarantine.Record
	// After and Next are the positions before and after the changes. More is set if further changes follow.
	After, Next QuarantinePosition
	More        bool
	// Renewal is the number of the last request that the replica has got.
	Renewal uint64
	// FollowerLost is set if a follower has ended lately without leaving; FollowerLostFor is the time since it last
	// sent a request.
	FollowerLost    bool
	FollowerLostFor time.Duration
}

// QuarantineProgram returns the name under which the runs of a request are recorded.
func QuarantineProgram(key quarantine.Key) string { return quarantinePrefix + key.String() }

func isQuarantineProgram(name string) bool { return strings.HasPrefix(name, quarantinePrefix) }

// RunCharge returns the charge that records a run.
func RunCharge(run quarantine.Run) Charge { return Charge{Turn: run.ID, Final: true, Run: &run} }

// ProgramRunCharge returns the charge that records a run of a request under the program that it belongs to.
// Whoever reserves a turn of the program reads it with the reservation.
func ProgramRunCharge(key quarantine.Key, run quarantine.Run) Charge {
	return Charge{Turn: QuarantineProgram(key) + " " + run.ID, Final: true, Run: &run}
}

// RunsOf returns the runs that the charges of a program record for a request. The key is computed only if
// there are any runs.
func RunsOf(charges map[string]Charge, key func() quarantine.Key) []quarantine.Run {
	var runs []quarantine.Run
	for _, charge := range charges {
		if charge.Run != nil && charge.Turn == ProgramRunCharge(key(), *charge.Run).Turn {
			runs = append(runs, *charge.Run)
		}
	}
	return runs
}

// UnsettledTurns returns the turns among a program's charges that were reserved and have not ended.
func UnsettledTurns(charges map[string]Charge) []string {
	var turns []string
	for turn, charge := range charges {
		if !charge.Final {
			turns = append(turns, turn)
		}
	}
	return turns
}

// RecordedRuns returns the runs among the charges of a quarantine program.
func RecordedRuns(charges map[string]Charge) []quarantine.Run {
	var runs []quarantine.Run
	for _, charge := range charges {
		if charge.Run != nil {
			runs = append(runs, *charge.Run)
		}
	}
	return runs
}

// readQuarantine returns the requests whose runs changed after a position, the oldest change first.
func (s *State) readQuarantine(request Request) Output {
	reply := s.reply(request.Number)
	query := *request.ReadQuarantine
	if query.After.Boot != s.boot {
		query.After = QuarantinePosition{Boot: s.boot}
	}
	answer := &QuarantineReply{Renewal: query.Renewal, After: query.After, Next: QuarantinePosition{Boot: s.boot, Position: s.quarantine.last}}
	listed := 0
	for _, changed := range s.quarantine.after(query.After.Position) {
		record, isKnown := s.quarantineRecord(changed.name)
		if !isKnown {
			continue
		}
		if listed += len(record.Runs); listed > query.MaxRuns && len(answer.Records) > 0 {
			answer.More = true
			break
		}
		answer.Records = append(answer.Records, record)
		answer.Next.Position = changed.position
	}
	if !answer.More {
		answer.Next.Position = s.quarantine.last
	}
	reply.Quarantine = answer
	return Output{Immediate: []Reply{reply}}
}

// quarantineRecord returns the recorded runs of a request; isKnown is false if a later version of this program named it.
func (s *State) quarantineRecord(name string) (record quarantine.Record, isKnown bool) {
	if record.Key.UnmarshalText([]byte(strings.TrimPrefix(name, quarantinePrefix))) != nil || s.programs[name] == nil {
		return record, false
	}
	for _, charge := range s.programs[name].charges {
		if charge.Run != nil {
			record.Runs = append(record.Runs, *charge.Run)
		}
	}
	return record, true
}

// QuarantinePosition returns the position after the last change of a recorded run.
func (s *State) QuarantinePosition() QuarantinePosition {
	return QuarantinePosition{Boot: s.boot, Position: s.quarantine.last}
}
