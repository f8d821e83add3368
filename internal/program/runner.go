package program

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"swiftbank.dev/swiftbank/internal/verdict"
	"swiftbank.dev/swiftbank/internal/wait"
)

const (
	// maxTries bounds how often a caller asks for one call.
	maxTries = 60
	// cutRetry is how long a caller waits after a connection was cut.
	cutRetry = 100 * time.Millisecond
	// defaultRetry is how long a caller waits when a refusal names no time.
	defaultRetry = 200 * time.Millisecond
)

// CallResult is the end of one call of a program.
type CallResult struct {
	Program  string
	Session  string
	Tenant   string
	Sequence int
	IdempotencyKey      string
	Step     Step
	Response   *Response
	Attempts    int
	Refusals int
	Latency  time.Duration
}

// Result is the end of one program.
type Result struct {
	Program string
	Tenant  string
	Latency time.Duration
	Calls   []CallResult
	// Err is set when a call got no final answer or a failure.
	Err error
}

// Runner runs programs against live nodes.
type Runner struct {
	Client *Client
	// Keys maps tenants to their API keys.
	Keys map[string]string
	// AttemptTimeout is how long the runner waits at one node before it asks another;
	// zero means as long as it takes.
	AttemptTimeout time.Duration
	// Progress is called after each program.
	Progress func(done, total int)
}

// Run starts each program at its time and waits for all.
func (r *Runner) Run(ctx context.Context, programs []Program) []Result {
	results := make([]Result, len(programs))
	started := time.Now()
	var mu sync.Mutex
	done := 0
	var tasks conc.WaitGroup
	for place := range programs {
		tasks.Go(func() {
			current := &programs[place]
			if !wait.For(ctx, time.Until(started.Add(time.Duration(current.StartMs)*time.Millisecond))) {
				results[place] = Result{Program: current.Name, Tenant: current.Tenant, Err: ctx.Err()}
				return
			}
			results[place] = r.runProgram(ctx, current, "")
			mu.Lock()
			defer mu.Unlock()
			done++
			if r.Progress != nil {
				r.Progress(done, len(programs))
			}
		})
	}
	tasks.Wait()
	return results
}

func (r *Runner) runProgram(ctx context.Context, current *Program, parent string) Result {
	started := time.Now()
	result := Result{Program: current.Name, Tenant: current.Tenant}
	sequence := 0
	for _, step := range current.Steps {
		if !wait.For(ctx, time.Duration(step.PauseMs)*time.Millisecond) {
			result.Err = ctx.Err()
			break
		}
		if step.Kind == StepProgram {
			inner := r.runProgram(ctx, step.Program, current.Name)
			result.Calls = append(result.Calls, inner.Calls...)
			result.Err = inner.Err
		} else {
			sequence++
			var call CallResult
			call, result.Err = r.runStep(ctx, current, parent, sequence, step)
			result.Calls = append(result.Calls, call)
		}
		if result.Err != nil {
			break
		}
	}
	result.Latency = time.Since(started)
	if result.Err == nil {
		result.Err = r.end(ctx, current)
	}
	return result
}

// end ends the program's session, asking again after a cut.
func (r *Runner) end(ctx context.Context, current *Program) error {
	var err error
	for range maxTries {
		if err = r.endOnce(ctx, current); err == nil {
			return nil
		}
		if !wait.For(ctx, cutRetry) {
			break
		}
	}
	return err
}

func (r *Runner) endOnce(ctx context.Context, current *Program) error {
	if r.AttemptTimeout > 0 {
		limited, cancel := context.WithTimeout(ctx, r.AttemptTimeout)
		defer cancel()
		ctx = limited
	}
	return r.Client.EndSession(ctx, r.Keys[current.Tenant], current.Session)
}

// runStep asks for one call until it has its final answer.
func (r *Runner) runStep(ctx context.Context, current *Program, parent string, sequence int, step Step) (CallResult, error) {
	key := fmt.Sprintf("%s-%d", current.Session, sequence)
	result := CallResult{Program: current.Name, Session: current.Session, Tenant: current.Tenant, Sequence: sequence, IdempotencyKey: key, Step: step}
	call := Call{
		APIKey: r.Keys[current.Tenant], Session: current.Session, Sequence: sequence, IdempotencyKey: key,
		Template: current.Template, Program: current.Name, ParentProgram: parent,
		Unrepeatable: step.Unrepeatable, Stream: step.Stream,
	}
	call.Path, call.Body = encodeStep(step)
	started := time.Now()
	for result.Attempts < maxTries {
		result.Attempts++
		answer, err := r.try(ctx, call)
		delay := cutRetry
		if err == nil {
			result.Response = answer
			if answer.Succeeded() || !worthRetry(answer, step) {
				break
			}
			result.Refusals++
			delay = max(answer.RetryAfter, defaultRetry)
		}
		if !wait.For(ctx, delay) {
			break
		}
	}
	result.Latency = time.Since(started)
	if result.Response == nil || !result.Response.Succeeded() {
		return result, fmt.Errorf("caller: call %d of program %s failed: %+v", sequence, current.Name, result.Response)
	}
	return result, nil
}

func (r *Runner) try(ctx context.Context, call Call) (*Response, error) {
	if r.AttemptTimeout > 0 {
		limited, cancel := context.WithTimeout(ctx, r.AttemptTimeout)
		defer cancel()
		ctx = limited
	}
	return r.Client.Send(ctx, call)
}

// worthRetry reports whether a caller asks again: what did not run and names a
// time to come back, or is repeatable and nobody knows.
func worthRetry(answer *Response, step Step) bool {
	if answer.Verdict == verdict.NotRun {
		return answer.RetryAfter > 0
	}
	return !step.Unrepeatable || answer.Code == verdict.CodeAnswerInProgress || answer.Code == verdict.CodeUnavailable
}

func encodeStep(step Step) (path string, body []byte) {
	switch step.Kind {
	case StepEngine:
		body, _ = json.Marshal(map[string]any{
			"messages":   []map[string]string{{"role": "user", "content": step.Prompt}},
			"max_tokens": step.MaxTokens, "stream": step.Stream,
		})
		return "/v1/chat/completions", body
	case StepTool:
		return "/v1/tools/" + step.Service + orRoot(step.Path), orEmpty(step.Body)
	default:
		return "/v1/applications/" + step.Service + orRoot(step.Path), orEmpty(step.Body)
	}
}

func orRoot(path string) string {
	if path == "" {
		return "/"
	}
	return path
}

func orEmpty(body json.RawMessage) []byte {
	if len(body) == 0 {
		return []byte("{}")
	}
	return body
}
