package simulate

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"swiftbank.dev/swiftbank/internal/workload"
)

// maxTraceLine bounds one line of a trace.
const maxTraceLine = 4 << 20

// TraceHeader is the first line of a recorded run.
type TraceHeader struct {
	Deployment string        `json:"deployment"`
	Seed       uint64        `json:"seed"`
	Duration   time.Duration `json:"duration"`
	// Why says which failure the trace brought when it was recorded.
	Why string `json:"why,omitempty"`
}

// TimedFault is one fault and when it came, from the start of the run.
type TimedFault struct {
	At time.Duration `json:"at"`
	FaultEvent
}

// TimedProgram is one program and when it began.
type TimedProgram struct {
	At     time.Duration    `json:"at"`
	Tenant string           `json:"tenant"`
	Shape  workload.Program `json:"shape"`
}

// Trace is a recorded run: what callers and faults did. Played again it needs no
// draws for either; the header's seed only feeds the network's delays.
type Trace struct {
	Header   TraceHeader
	Programs []TimedProgram
	Faults   []TimedFault
}

// traceLine is one line of a trace file: exactly one field is set.
type traceLine struct {
	Header  *TraceHeader  `json:"header,omitempty"`
	Program *TimedProgram `json:"program,omitempty"`
	Fault   *TimedFault   `json:"fault,omitempty"`
}

// Write writes the trace as JSON lines.
func (t *Trace) Write(out io.Writer) error {
	encoder := json.NewEncoder(out)
	lines := []traceLine{{Header: &t.Header}}
	for i := range t.Programs {
		lines = append(lines, traceLine{Program: &t.Programs[i]})
	}
	for i := range t.Faults {
		lines = append(lines, traceLine{Fault: &t.Faults[i]})
	}
	for _, line := range lines {
		if err := encoder.Encode(line); err != nil {
			return fmt.Errorf("trace: %w", err)
		}
	}
	return nil
}

// ReadTrace reads a trace; faults in it name the line.
func ReadTrace(reader io.Reader) (*Trace, error) {
	trace := &Trace{}
	lines := bufio.NewScanner(reader)
	lines.Buffer(make([]byte, 0, 64<<10), maxTraceLine)
	for number := 1; lines.Scan(); number++ {
		if strings.TrimSpace(lines.Text()) == "" {
			continue
		}
		if err := trace.readLine(lines.Bytes(), number); err != nil {
			return nil, fmt.Errorf("trace: line %d: %w", number, err)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("trace: %w", err)
	}
	if trace.Header.Deployment == "" {
		return nil, errors.New("trace: the first line must be the header")
	}
	return trace, nil
}

func (t *Trace) readLine(content []byte, number int) error {
	var line traceLine
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&line); err != nil {
		return err
	}
	switch {
	case line.Header != nil && number == 1:
		t.Header = *line.Header
	case line.Program != nil:
		t.Programs = append(t.Programs, *line.Program)
	case line.Fault != nil:
		t.Faults = append(t.Faults, *line.Fault)
	default:
		return errors.New("must hold a program or a fault, and the first line the header")
	}
	return nil
}

// check reports what the trace names that its deployment does not have.
func (t *Trace) check(w *world) error {
	for _, fault := range t.Faults {
		if _, err := ParseFaults(string(fault.Fault)); err != nil {
			return fmt.Errorf("trace: %w", err)
		}
		if !w.knowsTarget(fault.FaultEvent) {
			return fmt.Errorf("trace: fault %s at %s: the deployment has no %q", fault.Fault, fault.At, fault.Target)
		}
	}
	return nil
}

// knowsTarget reports whether a fault's target exists.
func (w *world) knowsTarget(event FaultEvent) bool {
	switch event.Fault {
	case FaultKill, FaultFreeze, FaultPartition, FaultOneWayPartition, FaultClockSkew:
		return w.nodes[event.Target] != nil
	case FaultEngineRestart:
		return w.backEnds.engines[event.Target] != nil
	case FaultToolHang:
		return w.backEnds.applications[event.Target] != nil
	default:
		return true
	}
}

func (w *world) recordFault(event FaultEvent) {
	w.recorded.Faults = append(w.recorded.Faults, TimedFault{At: w.elapsed(), FaultEvent: event})
}

// Record plays a run until all its programs have ended, and returns its trace
// beside the report.
func Record(options Options) (*Trace, *Report, error) {
	options.RunOut = true
	w, err := newWorld(options)
	if err != nil {
		return nil, nil, err
	}
	w.run()
	w.recorded.Header = TraceHeader{Deployment: options.Deployment, Seed: options.Seed, Duration: options.Duration}
	return &w.recorded, w.report(), nil
}

// Replay plays a recorded run again.
func Replay(trace *Trace) (*Report, error) {
	return Run(Options{
		Deployment: trace.Header.Deployment, Seed: trace.Header.Seed, Duration: trace.Header.Duration,
		Load: 1, Trace: trace, RunOut: true,
	})
}

// Outcomes state what a replay must show.
type Outcomes struct {
	// Calls maps "tenant/session#number" to the outcomes that may be: "ran",
	// "not_run" or "may_have_run", alternatives separated by "|".
	Calls map[string]string `json:"calls"`
	// Violations is how many broken properties may be reported.
	Violations int `json:"violations"`
	// FailedPrograms is how many programs may end without their answer.
	FailedPrograms int `json:"failedPrograms"`
}

// Differences compares a report with the stated outcomes.
func (o *Outcomes) Differences(report *Report) []string {
	var differences []string
	if len(report.Violations) > o.Violations {
		for _, violation := range report.Violations {
			differences = append(differences, fmt.Sprintf("violation at %.3f s of %s: %s", violation.AtSeconds, violation.Property, violation.What))
		}
	}
	if report.Programs.Failed > o.FailedPrograms {
		differences = append(differences, fmt.Sprintf("%d programs failed, %d were stated", report.Programs.Failed, o.FailedPrograms))
	}
	for _, call := range sortedIDs(o.Calls) {
		got, known := report.Calls[call]
		if !known {
			got = "no answer"
		}
		stated := strings.Split(o.Calls[call], "|")
		if !slices.Contains(stated, got) {
			differences = append(differences, fmt.Sprintf("%s: %s, stated was %s", call, got, o.Calls[call]))
		}
	}
	return differences
}

// StateOutcomes returns the outcomes that a report shows, for a new trace. Under
// faults an unrepeatable call may also end as "may have run": which node holds it
// when a fault strikes depends on the order of placements.
func StateOutcomes(trace *Trace, report *Report) *Outcomes {
	outcomes := &Outcomes{Calls: map[string]string{}, FailedPrograms: report.Programs.Failed}
	for call, outcome := range report.Calls {
		if report.Unrepeatable[call] && len(trace.Faults) > 0 {
			outcome = "ran|may_have_run"
		}
		outcomes.Calls[call] = outcome
	}
	return outcomes
}
