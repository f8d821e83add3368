package simulate

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Report is the result of one run. Its JSON form is documented in docs/SIMULATOR.md.
type Report struct {
	Deployment string        `json:"deployment"`
	Policy     string        `json:"policy"`
	Load       float64       `json:"load"`
	Seed       uint64        `json:"seed"`
	Duration   time.Duration `json:"durationNanoseconds"`
	Faults     []Fault       `json:"faults"`
	// Digest is of the whole event log; equal runs have equal digests.
	Digest     string        `json:"digest"`
	Events     uint64        `json:"events"`
	Violations []Violation   `json:"violations"`
	Programs   ProgramCounts `json:"programs"`
	Requests   RequestCounts `json:"requests"`
	Overshoot  int64         `json:"budget_overshoot_tokens"`
	Held       float64       `json:"memory_held_after_end_token_seconds"`
	Recovery   WaitSeconds   `json:"recovery_seconds"`
	// Spread is the time until an accepted change is in force on every node.
	Spread  WaitSeconds    `json:"configuration_spread_seconds"`
	Latency LatencySeconds `json:"program_latency_seconds"`
	// Slowdown is each program's latency over its bound.
	Slowdown   LatencySeconds `json:"slowdown"`
	FirstToken LatencySeconds `json:"first_token_seconds"`
	// BoundMean is the mean of the programs' bounds.
	BoundMean float64 `json:"bound_mean_seconds"`
	// Fairness is Jain's index over the tenants' mean slowdowns: one is even.
	Fairness float64       `json:"fairness"`
	Wasted   float64       `json:"wasted_cache_share"`
	Control  ControlReport `json:"control"`
	// Calls is the outcome of each call, as the caller saw it last.
	Calls map[string]string `json:"-"`
	// Unrepeatable marks the calls that may run only once.
	Unrepeatable map[string]bool `json:"-"`
}

// ProgramCounts count programs.
type ProgramCounts struct {
	Begun  int `json:"begun"`
	Ended  int `json:"ended"`
	Failed int `json:"failed"`
}

// RequestCounts count calls.
type RequestCounts struct {
	Issued        int `json:"issued"`
	Completed     int `json:"completed"`
	RefusedNotRun int `json:"refused_not_run"`
	MayHaveRun    int `json:"may_have_run"`
	Retried       int `json:"retried"`
	Lost          int `json:"lost"`
	Doubled       int `json:"doubled"`
	OutOfOrder    int `json:"out_of_order"`
}

// WaitSeconds is a distribution of times, such as those without a leader after
// the loss of an owner.
type WaitSeconds struct {
	Count int     `json:"count"`
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// LatencySeconds is a distribution.
type LatencySeconds struct {
	Count int     `json:"count"`
	Mean  float64 `json:"mean"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
}

// ControlReport is what control costs a node, on average.
type ControlReport struct {
	BytesPerSecond    float64 `json:"bytes_per_second"`
	MessagesPerSecond float64 `json:"messages_per_second"`
}

func (w *world) report() *Report {
	stats := &w.callers.stats
	nodeSeconds := w.options.Duration.Seconds() * float64(len(w.nodeNames))
	report := &Report{
		Deployment: w.deployment.name, Policy: w.options.Policy.String(), Load: w.options.Load,
		Seed: w.options.Seed, Duration: w.options.Duration, Faults: w.options.Faults,
		Digest: fmt.Sprintf("%016x", w.digest.Sum64()), Events: w.events, Violations: w.checker.violations,
		Programs: ProgramCounts{Begun: stats.programs, Ended: stats.ended, Failed: stats.failedPrograms},
		Requests: RequestCounts{
			Issued: stats.issued, Completed: stats.completed, RefusedNotRun: stats.refused,
			MayHaveRun: stats.mayHaveRun, Retried: stats.retried,
			Lost: w.checker.lost, Doubled: w.checker.doubled, OutOfOrder: w.checker.outOfOrder,
		},
		Overshoot: w.checker.overshoot, Held: w.checker.heldSeconds,
		Calls: stats.outcomes, Unrepeatable: stats.unrepeatable,
		Recovery: recoverySeconds(w.recovery.times), Spread: recoverySeconds(w.spread.times), FirstToken: distribution(seconds(stats.firstTokens)),
		Control: ControlReport{
			BytesPerSecond:    float64(w.control.bytes) / nodeSeconds,
			MessagesPerSecond: float64(w.control.messages) / nodeSeconds,
		},
	}
	if report.Violations == nil {
		report.Violations = []Violation{}
	}
	if stats.promptTokens > 0 {
		report.Wasted = float64(stats.wastedTokens) / float64(stats.promptTokens)
	}
	var latencies, slowdowns []float64
	for _, measured := range stats.latencies {
		latencies = append(latencies, measured.latency.Seconds())
		slowdowns = append(slowdowns, measured.latency.Seconds()/measured.bound.Seconds())
	}
	report.BoundMean = boundMean(stats.latencies)
	report.Fairness = fairness(stats.latencies)
	report.Latency = distribution(latencies)
	report.Slowdown = distribution(slowdowns)
	return report
}

func boundMean(measured []programLatency) float64 {
	total := 0.0
	for _, m := range measured {
		total += m.bound.Seconds()
	}
	return total / float64(max(1, len(measured)))
}

// fairness is Jain's index over the tenants' mean slowdowns.
func fairness(measured []programLatency) float64 {
	sums, counts := map[string]float64{}, map[string]float64{}
	for _, m := range measured {
		sums[m.tenant] += m.latency.Seconds() / m.bound.Seconds()
		counts[m.tenant]++
	}
	total, squares := 0.0, 0.0
	for _, tenant := range sortedIDs(sums) {
		mean := sums[tenant] / counts[tenant]
		total += mean
		squares += mean * mean
	}
	if squares == 0 {
		return 1
	}
	return total * total / (squares * float64(len(sums)))
}

func seconds(durations []time.Duration) []float64 {
	list := make([]float64, len(durations))
	for i, d := range durations {
		list[i] = d.Seconds()
	}
	return list
}

func recoverySeconds(times []time.Duration) WaitSeconds {
	sorted := slices.Sorted(slices.Values(seconds(times)))
	return WaitSeconds{Count: len(sorted), P50: quantile(sorted, 0.5), P99: quantile(sorted, 0.99), Max: quantile(sorted, 1)}
}

func distribution(values []float64) LatencySeconds {
	if len(values) == 0 {
		return LatencySeconds{}
	}
	sorted := slices.SortedFunc(slices.Values(values), cmp.Compare[float64])
	total := 0.0
	for _, value := range sorted {
		total += value
	}
	return LatencySeconds{
		Count: len(sorted), Mean: total / float64(len(sorted)),
		P50: quantile(sorted, 0.5), P95: quantile(sorted, 0.95), P99: quantile(sorted, 0.99),
	}
}

// quantile returns the nearest-rank quantile of a sorted list.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	place := int(q*float64(len(sorted))+0.999999) - 1
	return sorted[max(0, min(place, len(sorted)-1))]
}
