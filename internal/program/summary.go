package program

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// maxLatency is the largest latency that the histograms record.
const maxLatency = 24 * time.Hour

// Summary aggregates the results of programs as callers saw them.
type Summary struct {
	Programs int `json:"programs"`
	// Failed counts the programs whose Result has an error.
	Failed int `json:"failed"`
	Calls  int `json:"calls"`
	// ProgramSeconds is over programs, from the first call to the last byte of the last
	// response.
	ProgramSeconds Quantiles `json:"programLatencySeconds"`
	// FirstByteSeconds is over engine calls.
	FirstByteSeconds Quantiles `json:"firstByteSeconds"`
	// WastedCacheShare is the fraction of the prompt tokens that was recomputed although
	// an earlier call of the session had computed it.
	WastedCacheShare float64          `json:"wastedCacheShare"`
	Refused          int              `json:"refused"`
	Retried          int              `json:"retried"`
	TokensUsed       map[string]int64 `json:"tokensUsed"`
}

// Quantiles holds the mean and quantiles of a distribution, in seconds.
type Quantiles struct {
	Mean float64 `json:"mean"`
	P50  float64 `json:"p50"`
	P95  float64 `json:"p95"`
	P99  float64 `json:"p99"`
}

// Summarise aggregates results. It returns an error if a latency is out of range.
func Summarise(results []Result) (Summary, error) {
	summary := Summary{Programs: len(results), TokensUsed: map[string]int64{}}
	latencies := hdrhistogram.New(1, maxLatency.Milliseconds(), 3)
	firstBytes := hdrhistogram.New(1, maxLatency.Milliseconds(), 3)
	var prompt, wasted int64
	for _, result := range results {
		if result.Err != nil {
			summary.Failed++
		}
		if err := latencies.RecordValue(result.Latency.Milliseconds()); err != nil {
			return summary, fmt.Errorf("summary: %w", err)
		}
		cached := map[string]int64{}
		for _, call := range result.Calls {
			summary.addCall(call)
			if call.Response == nil || call.Step.Kind != StepEngine {
				continue
			}
			if err := firstBytes.RecordValue(call.Response.FirstByte.Milliseconds()); err != nil {
				return summary, fmt.Errorf("summary: %w", err)
			}
			prompt += call.Response.PromptTokens
			wasted += max(0, min(cached[call.Session], call.Response.PromptTokens)-call.Response.CachedTokens)
			cached[call.Session] = call.Response.PromptTokens + call.Response.CompletionTokens
		}
	}
	if prompt > 0 {
		summary.WastedCacheShare = float64(wasted) / float64(prompt)
	}
	summary.ProgramSeconds = quantilesOf(latencies)
	summary.FirstByteSeconds = quantilesOf(firstBytes)
	return summary, nil
}

func (s *Summary) addCall(call CallResult) {
	s.Calls++
	s.Refused += call.Refusals
	s.Retried += max(0, call.Attempts-1)
	if call.Response != nil {
		s.TokensUsed[call.Tenant] += call.Response.PromptTokens + call.Response.CompletionTokens
	}
}

func quantilesOf(histogram *hdrhistogram.Histogram) Quantiles {
	seconds := func(quantile float64) float64 {
		return float64(histogram.ValueAtQuantile(quantile)) / 1000
	}
	return Quantiles{Mean: histogram.Mean() / 1000, P50: seconds(50), P95: seconds(95), P99: seconds(99)}
}

// Row is one line of a printed table.
type Row struct {
	Name  string
	Value any
}

// Rows returns the summary as table rows.
func (s *Summary) Rows() []Row {
	rows := []Row{
		{"programs", s.Programs},
		{"programs failed", s.Failed},
		{"calls", s.Calls},
		{"program latency p50 / p95 / p99", s.ProgramSeconds.String()},
		{"first byte p50 / p95 / p99", s.FirstByteSeconds.String()},
		{"wasted cache", fmt.Sprintf("%.1f %% of prompt tokens", 100*s.WastedCacheShare)},
		{"refused", s.Refused},
		{"retried", s.Retried},
	}
	for _, tenant := range slices.Sorted(maps.Keys(s.TokensUsed)) {
		rows = append(rows, Row{"tokens used by " + tenant, s.TokensUsed[tenant]})
	}
	return rows
}

// String returns the quantiles as text.
func (q Quantiles) String() string {
	return fmt.Sprintf("%.2f s / %.2f s / %.2f s", q.P50, q.P95, q.P99)
}

// PrintRows writes rows as an aligned table.
func PrintRows(out io.Writer, rows []Row) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		fmt.Fprintf(table, "%s\t%v\n", row.Name, row.Value)
	}
	_ = table.Flush()
}
