package ledger

import (
	"maps"
	"slices"
	"strings"

	"swiftbank.dev/swiftbank/internal/quarantine"
)

// The runs of a request are recorded as charges without tokens, under a program of the request's key. They
// are therefore merged, stored, handed over and dropped like all charges.

// quarantinePrefix begins the names of such programs. No caller can send one: a header cannot contain a zero
// byte.
const quarantinePrefix = "\x00quarantine "

// ReadQuarantine requests all recorded runs of requests.
type ReadQuarantine struct {
	// MaxRuns bounds the runs in the reply.
	MaxRuns int
}

// QuarantineReply lists the requests with recorded runs.
type QuarantineReply struct {
	Records []quarantine.Record
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

func (s *State) readQuarantine(request Request) Output {
	reply := s.reply(request.Number)
	reply.Quarantine = &QuarantineReply{}
	listed := 0
	for _, name := range slices.Sorted(maps.Keys(s.quarantine)) {
		var record quarantine.Record
		if record.Key.UnmarshalText([]byte(strings.TrimPrefix(name, quarantinePrefix))) != nil {
			continue // of a later version
		}
		for _, charge := range s.programs[name].charges {
			if charge.Run != nil {
				record.Runs = append(record.Runs, *charge.Run)
			}
		}
		if listed += len(record.Runs); listed > request.ReadQuarantine.MaxRuns {
			break
		}
		reply.Quarantine.Records = append(reply.Quarantine.Records, record)
	}
	return Output{Immediate: []Reply{reply}}
}
