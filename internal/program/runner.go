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
	// maxAttempts bounds the attempts at one call.
	maxAttempts = 60
	// reconnectDelay is the delay before a retry after a connection failure.
	reconnectDelay = 100 * time.Millisecond
	// minRetryDelay is the minimum delay before a retry after a response that was no
	// success.
	minRetryDelay = 200 * time.Millisecond
)

// CallResult is the outcome of one call of a program, over all its attempts.
type CallResult struct {
	Program        string
	Session        string
	Tenant         string
	Sequence       int
	IdempotencyKey string
	Step           Step
	Response       *Response
	Attempts       int
	Refusals       int
	Latency        time.Duration
}

// Result is the outcome of one program.
type Result struct {
	Program string
	Tenant  string
	Latency time.Duration
	Calls   []CallResult
	// Err is set if a call failed or got no final response, or the session was not ended.
	Err error
}

// Runner runs programs against live nodes.
type Runner struct {
	Client *Client
	// Keys maps tenants to their API keys.
	Keys map[string]string
	// AttemptTimeout is how long the runner waits for a node before it retries at the next;
	// zero means no timeout.
	AttemptTimeout time.Duration
	// Progress, if set, is called after each program.
	Progress func(done, total int)
}

// Run starts each program at its StartMs, waits for all of them and returns their
// results in the same order.
func (r *Runner) Run(ctx context.Context, programs []Program) []Result {
	results := make([]Result, len(programs))
	started := time.Now()
	var mu sync.Mutex
	done := 0
	var tasks conc.WaitGroup
	for index := range programs {
		tasks.Go(func() {
			current := &programs[index]
			if !wait.For(ctx, time.Until(started.Add(time.Duration(current.StartMs)*time.Millisecond))) {
				results[index] = Result{Program: current.Name, Tenant: current.Tenant, Err: ctx.Err()}
				return
			}
			results[index] = r.runProgram(ctx, current, "")
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

// end ends the program's session and retries after errors.
func (r *Runner) end(ctx context.Context, current *Program) error {
	var err error
	for range maxAttempts {
		if err = r.attemptEnd(ctx, current); err == nil {
			return nil
		}
		if !wait.For(ctx, reconnectDelay) {
			break
		}
	}
	return err
}

func (r *Runner) attemptEnd(ctx context.Context, current *Program) error {
	if r.AttemptTimeout > 0 {
		limited, cancel := context.WithTimeout(ctx, r.AttemptTimeout)
		defer cancel()
		ctx = limited
	}
	return r.Client.EndSession(ctx, r.Keys[current.Tenant], current.Session)
}

// runStep retries one call until it has a final response or the attempts are used up.
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
	for result.Attempts < maxAttempts {
		result.Attempts++
		answer, err := r.attempt(ctx, call)
		delay := reconnectDelay
		if err == nil {
			result.Response = answer
			if answer.Succeeded() || !shouldRetry(answer, step) {
				break
			}
			result.Refusals++
			delay = max(answer.RetryAfter, minRetryDelay)
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

func (r *Runner) attempt(ctx context.Context, call Call) (*Response, error) {
	if r.AttemptTimeout > 0 {
		limited, cancel := context.WithTimeout(ctx, r.AttemptTimeout)
		defer cancel()
		ctx = limited
	}
	return r.Client.Send(ctx, call)
}

// shouldRetry reports whether a caller retries: a call that did not run is retried if the
// response names a delay; one with an unknown outcome is retried if it is repeatable or
// the code allows a retry.
func shouldRetry(answer *Response, step Step) bool {
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
