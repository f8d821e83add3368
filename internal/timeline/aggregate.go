package timeline

import (
	"net/http"

	"github.com/HdrHistogram/hdrhistogram-go"

	"swiftbank.dev/swiftbank/internal/explain"
)

// entry is a log line with typed access to its fields.
type entry explain.Line

func (e entry) text(name string) string {
	value, _ := e.Fields[name].(string)
	return value
}

func (e entry) number(name string) float64 {
	value, _ := e.Fields[name].(float64)
	return value
}

// group returns the name of the group that the request belongs to.
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

// aggregate accumulates the requests of one group in one span.
type aggregate struct {
	answered, refused, failed, late int
	firstEventMS, durationMS        *hdrhistogram.Histogram
	reasons                         map[string]int
}

// maxTrackedMS is the upper bound of the histograms in milliseconds, significantFigures their
// precision.
const (
	maxTrackedMS       = 3_600_000
	significantFigures = 3
)

func newAggregate() *aggregate {
	return &aggregate{
		firstEventMS: hdrhistogram.New(1, maxTrackedMS, significantFigures), durationMS: hdrhistogram.New(1, maxTrackedMS, significantFigures),
		reasons: map[string]int{},
	}
}

// add counts one finished request.
func (c *aggregate) add(request entry) {
	if request.number("program_left_ms") < 0 {
		c.late++
	}
	switch status := int(request.number("status")); {
	case request.text("result") == "answered":
		c.answered++
		record(c.durationMS, request.number("took_ms"))
		if request.number("events") > 0 {
			record(c.firstEventMS, request.number("first_ms"))
		}
		return
	case isRefusal(status):
		c.refused++
	default:
		c.failed++
	}
	c.reasons[request.text("result")]++
}

// isRefusal reports whether a status refuses a request that may succeed later or at another node.
func isRefusal(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusPaymentRequired:
		return true
	default:
		return false
	}
}

// row returns the totals as a Row without its span and group.
func (c *aggregate) row() Row {
	return Row{
		Answered: c.answered, Refused: c.refused, Failed: c.failed, LateStarts: c.late,
		FirstEventMS: quantilesOf(c.firstEventMS), DurationMS: quantilesOf(c.durationMS), Reasons: c.reasons,
	}
}

// record adds a time to the histogram, clamped to maxTrackedMS.
func record(histogram *hdrhistogram.Histogram, valueMS float64) {
	_ = histogram.RecordValue(min(maxTrackedMS, max(0, int64(valueMS)))) // within the bounds it cannot fail
}

func quantilesOf(histogram *hdrhistogram.Histogram) Quantiles {
	return Quantiles{Median: float64(histogram.ValueAtQuantile(50)), P95: float64(histogram.ValueAtQuantile(95))}
}
