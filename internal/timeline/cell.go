package timeline

import (
	"net/http"

	"github.com/HdrHistogram/hdrhistogram-go"

	"swiftbank.dev/swiftbank/internal/explain"
)

// entry is one line of a log with typed access to its fields.
type entry explain.Line

func (e entry) text(name string) string {
	value, _ := e.Fields[name].(string)
	return value
}

func (e entry) number(name string) float64 {
	value, _ := e.Fields[name].(float64)
	return value
}

// group returns the name under which the request is counted.
func (e entry) group(by Group, zones map[string]string) string {
	switch by {
	case ByZone:
		return zones[e.Node]
	case ByTenant:
		return e.text("tenant")
	default:
		return e.text("route")
	}
}

// cell gathers the requests of one group in one span.
type cell struct {
	answered, refused, failed, late int
	first, took                     *hdrhistogram.Histogram
	reasons                         map[string]int
}

// longestMS bounds the times that are told apart, in milliseconds; significantFigures is how
// exactly.
const (
	longestMS          = 3_600_000
	significantFigures = 3
)

func newCell() *cell {
	return &cell{
		first: hdrhistogram.New(1, longestMS, significantFigures), took: hdrhistogram.New(1, longestMS, significantFigures),
		reasons: map[string]int{},
	}
}

// add counts one finished request.
func (c *cell) add(request entry) {
	if request.number("program_left_ms") < 0 {
		c.late++
	}
	switch status := int(request.number("status")); {
	case request.text("result") == "answered":
		c.answered++
		record(c.took, request.number("took_ms"))
		if request.number("events") > 0 {
			record(c.first, request.number("first_ms"))
		}
		return
	case isRefusal(status):
		c.refused++
	default:
		c.failed++
	}
	c.reasons[request.text("result")]++
}

// isRefusal reports whether a status turns a request away that another time or place may serve.
func isRefusal(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusPaymentRequired:
		return true
	default:
		return false
	}
}

// row sums up the cell.
func (c *cell) row() Row {
	return Row{
		Answered: c.answered, Refused: c.refused, Failed: c.failed, LateStarts: c.late,
		FirstEventMS: quantilesOf(c.first), DurationMS: quantilesOf(c.took), Reasons: c.reasons,
	}
}

// record counts a time; what is longer than can be told apart counts as the longest.
func record(histogram *hdrhistogram.Histogram, tookMS float64) {
	_ = histogram.RecordValue(min(longestMS, max(0, int64(tookMS)))) // within the bounds it cannot fail
}

func quantilesOf(histogram *hdrhistogram.Histogram) Quantiles {
	return Quantiles{Median: float64(histogram.ValueAtQuantile(50)), P95: float64(histogram.ValueAtQuantile(95))}
}
