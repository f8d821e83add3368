// Package program defines agent programs, reads them from trace files, and runs them
// against live nodes as a caller does.
package program

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// maxTraceLine is the maximum length of a trace line, in bytes.
const maxTraceLine = 4 << 20

// Program is one chain of dependent calls: one line of a trace file.
type Program struct {
	Name string `json:"program"`
	// StartMs is the start time of the program, relative to the start of the trace.
	StartMs  int64  `json:"start_ms"`
	Tenant   string `json:"tenant"`
	Template string `json:"template"`
	// Session defaults to the program's name.
	Session string `json:"session,omitempty"`
	Steps   []Step `json:"steps"`
}

// StepKind is the kind of a step.
type StepKind string

// The kinds of step.
const (
	StepEngine      StepKind = "engine"
	StepApplication StepKind = "application"
	StepTool        StepKind = "tool"
	// StepProgram runs a sub-agent as a program of its own and waits for it.
	StepProgram StepKind = "program"
)

// Step is one call of a program.
type Step struct {
	Kind StepKind `json:"kind"`
	// PauseMs is the delay before the step, for example for a tool that the caller runs
	// itself.
	PauseMs int64 `json:"pause_ms,omitempty"`
	// Prompt is the user message of an engine step.
	Prompt    string `json:"prompt,omitempty"`
	MaxTokens int64  `json:"max_tokens,omitempty"`
	Stream    bool   `json:"stream,omitempty"`
	// Service, Path and Body are for application and tool steps.
	Service      string          `json:"service,omitempty"`
	Path         string          `json:"path,omitempty"`
	Body         json.RawMessage `json:"body,omitempty"`
	Unrepeatable bool            `json:"unrepeatable,omitempty"`
	// Program is the sub-agent of a program step.
	Program *Program `json:"sub_program,omitempty"`
}

// ReadTrace reads a trace: one JSON object per line. It skips blank lines and lines
// that begin with #. Errors contain the line number.
func ReadTrace(reader io.Reader) ([]Program, error) {
	var programs []Program
	lines := bufio.NewScanner(reader)
	lines.Buffer(make([]byte, 0, 64<<10), maxTraceLine)
	for number := 1; lines.Scan(); number++ {
		text := strings.TrimSpace(lines.Text())
		if text == "" || strings.HasPrefix(text, "#") {
			continue
		}
		var parsed Program
		decoder := json.NewDecoder(strings.NewReader(text))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&parsed); err != nil {
			return nil, fmt.Errorf("trace: line %d: %w", number, err)
		}
		if err := parsed.check(); err != nil {
			return nil, fmt.Errorf("trace: line %d: %w", number, err)
		}
		programs = append(programs, parsed)
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("trace: %w", err)
	}
	return programs, nil
}

func (p *Program) check() error {
	if p.Name == "" || p.Tenant == "" || p.Template == "" {
		return errors.New("program, tenant and template must be given")
	}
	if p.Session == "" {
		p.Session = p.Name
	}
	for index := range p.Steps {
		if err := p.Steps[index].check(p); err != nil {
			return fmt.Errorf("step %d: %w", index+1, err)
		}
	}
	return nil
}

func (s *Step) check(parent *Program) error {
	switch s.Kind {
	case StepEngine:
		if s.Prompt == "" {
			return errors.New("an engine step needs a prompt")
		}
	case StepApplication, StepTool:
		if s.Service == "" {
			return fmt.Errorf("an %s step needs a service", s.Kind)
		}
	case StepProgram:
		if s.Program == nil {
			return errors.New("a program step needs sub_program")
		}
		if s.Program.Tenant == "" {
			s.Program.Tenant = parent.Tenant
		}
		return s.Program.check()
	default:
		return fmt.Errorf("unknown kind %q", s.Kind)
	}
	return nil
}
