package demo

import (
	"errors"
	"fmt"
	"io"
	"time"

	"swiftbank.dev/swiftbank/internal/program"
)

// Report sums a run up.
type Report struct {
	program.Summary
	// Slowdown is the programs' latency over the time that their own pauses and
	// idle back ends take at least.
	Slowdown     float64 `json:"slowdown"`
	Lost         int     `json:"lost"`
	Doubled      int     `json:"doubled"`
	OutOfOrder   int     `json:"outOfOrder"`
	HeldAfterEnd int     `json:"heldAfterEnd"`
}

// report checks the results against what the stand-ins ran.
func (d *Deployment) report(results []program.Result) (*Report, error) {
	summary, err := program.Summarise(results)
	if err != nil {
		return nil, err
	}
	report := &Report{Summary: summary, Lost: summary.Failed}
	var latency, bound time.Duration
	for _, result := range results {
		latency += result.Latency
		bound += d.bound(result)
	}
	report.Slowdown = latency.Seconds() / bound.Seconds()
	report.countRuns(results, d.runs())
	report.HeldAfterEnd = d.heldAfterEnd()
	if report.Lost+report.Doubled+report.OutOfOrder+report.HeldAfterEnd > 0 {
		return report, errors.New("demo: requests were lost, doubled or out of order, or engine memory stayed held")
	}
	return report, nil
}

// bound is the least time that a program's steps take on idle back ends.
func (d *Deployment) bound(result program.Result) time.Duration {
	least := time.Duration(0)
	for _, call := range result.Calls {
		least += time.Duration(call.Step.PauseMs) * time.Millisecond
		if call.Response == nil {
			continue
		}
		if call.Step.Kind == program.StepEngine {
			fresh := float64(call.Response.PromptTokens-call.Response.CachedTokens) / engineOptions.PrefillTokensPerSecond
			least += time.Duration(fresh*float64(time.Second)) + time.Duration(call.Response.CompletionTokens)*engineOptions.TokenInterval
		} else {
			least += applicationDelay
		}
	}
	return least
}

// runs sums up what all applications and tools ran, by idempotency key.
func (d *Deployment) runs() map[string]int {
	total := map[string]int{}
	for _, application := range d.Applications {
		for key, count := range application.Runs() {
			total[key] += count
		}
	}
	return total
}

// countRuns compares the callers' answers with what the back ends ran.
func (r *Report) countRuns(results []program.Result, runs map[string]int) {
	for _, result := range results {
		last := map[string]int{}
		for _, call := range result.Calls {
			if call.Sequence != last[call.Session]+1 {
				r.OutOfOrder++
			}
			last[call.Session] = call.Sequence
			if call.Step.Kind == program.StepEngine {
				continue
			}
			if runs[call.IdempotencyKey] == 0 {
				r.Lost++
			}
			if call.Step.Unrepeatable && runs[call.IdempotencyKey] > 1 {
				r.Doubled++
			}
		}
	}
}

// heldAfterEnd waits for the engines to be told that all sessions ended, and
// returns how many holds are left.
func (d *Deployment) heldAfterEnd() int {
	deadline := time.Now().Add(releaseTimeout)
	for {
		held := 0
		for _, engine := range d.Engines {
			held += len(engine.CachedSessions())
		}
		if held == 0 || time.Now().After(deadline) {
			return held
		}
		time.Sleep(readyPoll)
	}
}

// Print writes the summary table.
func (r *Report) Print(out io.Writer) {
	program.PrintRows(out, append(r.Rows(),
		program.Row{Name: "slowdown against idle back ends", Value: fmt.Sprintf("%.2f", r.Slowdown)},
		program.Row{Name: "lost", Value: r.Lost},
		program.Row{Name: "doubled", Value: r.Doubled},
		program.Row{Name: "out of order", Value: r.OutOfOrder},
		program.Row{Name: "engine memory held after end", Value: r.HeldAfterEnd},
	))
}
