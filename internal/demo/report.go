package demo

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"swiftbank.dev/swiftbank/internal/program"
)

// Report sums a run up.
type Report struct {
	Programs int `json:"programs"`
	Calls    int `json:"calls"`
	// ProgramSeconds are latencies of whole programs.
	ProgramSeconds Quantiles `json:"programLatencySeconds"`
	// Slowdown is the mean latency over the mean of the time that the programs'
	// own pauses and back ends take at least.
	Slowdown float64 `json:"slowdown"`
	// WastedCacheShare is the part of the prompt tokens that was computed again
	// although an engine had held it for the session.
	WastedCacheShare float64          `json:"wastedCacheShare"`
	Refused          int              `json:"refused"`
	Retried          int              `json:"retried"`
	Lost             int              `json:"lost"`
	Doubled          int              `json:"doubled"`
	OutOfOrder       int              `json:"outOfOrder"`
	HeldAfterEnd     int              `json:"heldAfterEnd"`
	TokensUsed       map[string]int64 `json:"tokensUsed"`
}

// Quantiles of a distribution, in seconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// report checks the results against what the stand-ins ran.
func (d *Deployment) report(results []program.Result) (*Report, error) {
	report := &Report{Programs: len(results), TokensUsed: map[string]int64{}}
	histogram := hdrhistogram.New(1, time.Hour.Milliseconds(), 3)
	var latency, bound time.Duration
	for _, result := range results {
		if err := histogram.RecordValue(result.Latency.Milliseconds()); err != nil {
			return nil, fmt.Errorf("demo: %w", err)
		}
		latency += result.Latency
		bound += d.bound(result)
		if result.Err != nil {
			report.Lost++
		}
		report.addCalls(result.Calls)
	}
	report.ProgramSeconds = quantilesOf(histogram)
	report.Slowdown = latency.Seconds() / bound.Seconds()
	report.countRuns(results, d.runs())
	report.HeldAfterEnd = d.heldAfterEnd()
	if report.Lost+report.Doubled+report.OutOfOrder+report.HeldAfterEnd > 0 {
		return report, errors.New("demo: requests were lost, doubled or out of order, or engine memory stayed held")
	}
	return report, nil
}

func quantilesOf(histogram *hdrhistogram.Histogram) Quantiles {
	seconds := func(quantile float64) float64 {
		return float64(histogram.ValueAtQuantile(quantile)) / 1000
	}
	return Quantiles{P50: seconds(50), P95: seconds(95), P99: seconds(99)}
}

func (r *Report) addCalls(calls []program.CallResult) {
	var prompt, wasted int64
	held := map[string]int64{}
	for _, call := range calls {
		r.Calls++
		r.Refused += call.Refusals
		if call.Answer == nil {
			continue
		}
		r.Retried += max(0, call.Tries-1)
		answer := call.Answer
		r.TokensUsed[call.Tenant] += answer.PromptTokens + answer.CompletionTokens
		prompt += answer.PromptTokens
		wasted += max(0, min(held[call.Session], answer.PromptTokens)-answer.CachedTokens)
		if answer.PromptTokens > 0 {
			held[call.Session] = answer.PromptTokens + answer.CompletionTokens
		}
	}
	r.promptTotals(prompt, wasted)
}

// promptTotals folds one program into the share, weighted by prompt tokens.
func (r *Report) promptTotals(prompt, wasted int64) {
	total := int64(0)
	for _, tokens := range r.TokensUsed {
		total += tokens
	}
	if total == 0 {
		return
	}
	before := r.WastedCacheShare * float64(total-prompt)
	r.WastedCacheShare = (before + float64(wasted)) / float64(total)
}

// bound is the least time that a program's steps take on idle back ends.
func (d *Deployment) bound(result program.Result) time.Duration {
	least := time.Duration(0)
	for _, call := range result.Calls {
		least += time.Duration(call.Step.PauseMs) * time.Millisecond
		if call.Answer == nil {
			continue
		}
		if call.Step.Kind == program.StepEngine {
			fresh := float64(call.Answer.PromptTokens-call.Answer.CachedTokens) / engineOptions.PrefillTokensPerSecond
			least += time.Duration(fresh*float64(time.Second)) + time.Duration(call.Answer.CompletionTokens)*engineOptions.TokenInterval
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
			if runs[call.Key] == 0 {
				r.Lost++
			}
			if call.Step.Unrepeatable && runs[call.Key] > 1 {
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
			held += len(engine.Holds())
		}
		if held == 0 || time.Now().After(deadline) {
			return held
		}
		time.Sleep(readyPoll)
	}
}

// Print writes the summary table.
func (r *Report) Print(out io.Writer) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	row := func(name string, value any) { fmt.Fprintf(table, "%s\t%v\n", name, value) }
	row("programs", r.Programs)
	row("calls", r.Calls)
	row("program latency p50 / p95 / p99", fmt.Sprintf("%.2f s / %.2f s / %.2f s", r.ProgramSeconds.P50, r.ProgramSeconds.P95, r.ProgramSeconds.P99))
	row("slowdown against idle back ends", fmt.Sprintf("%.2f", r.Slowdown))
	row("wasted cache", fmt.Sprintf("%.1f %% of tokens", 100*r.WastedCacheShare))
	row("refused", r.Refused)
	row("retried", r.Retried)
	row("lost", r.Lost)
	row("doubled", r.Doubled)
	row("out of order", r.OutOfOrder)
	row("engine memory held after end", r.HeldAfterEnd)
	for _, tenant := range slices.Sorted(maps.Keys(r.TokensUsed)) {
		row("tokens used by "+tenant, r.TokensUsed[tenant])
	}
	_ = table.Flush()
}
