// Package loadstatus aggregates the load control metrics of gateways over the whole fleet: free
// and committed capacity and refusals, by service and rank. Histograms are left out.
package loadstatus

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// nodeLabel is the label that identifies the process; values are summed over it.
const nodeLabel = "node"

// Row is one load control metric, aggregated over all gateways that were read.
type Row struct {
	Metric string `json:"metric"`
	// Labels are the metric's labels without the node, as name=value, sorted by name.
	Labels []string `json:"labels,omitempty"`
	// Sum, Min and Max are taken over the gateways. Gateways is the number of gateways that
	// export the metric.
	Sum      float64 `json:"sum"`
	Min      float64 `json:"least"`
	Max      float64 `json:"most"`
	Gateways int     `json:"gateways"`
}

// Status aggregates the metrics of several gateways.
type Status struct {
	prefixes []string
	rows     map[string]*Row
}

// New returns an empty Status for the metrics whose names begin with one of the prefixes.
func New(prefixes []string) *Status {
	return &Status{prefixes: prefixes, rows: map[string]*Row{}}
}

// Add reads one gateway's metrics in the Prometheus text format.
func (s *Status) Add(metrics io.Reader) error {
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(metrics)
	if err != nil {
		return fmt.Errorf("loadstatus: %w", err)
	}
	for name, family := range families {
		if !s.includes(name) {
			continue
		}
		for _, metric := range family.GetMetric() {
			s.add(name, metric)
		}
	}
	return nil
}

// includes reports whether the metric's name begins with one of the prefixes.
func (s *Status) includes(name string) bool {
	return slices.ContainsFunc(s.prefixes, func(prefix string) bool { return strings.HasPrefix(name, prefix) })
}

func (s *Status) add(name string, metric *dto.Metric) {
	value, isScalar := valueOf(metric)
	if !isScalar {
		return
	}
	labels := labelsOf(metric)
	key := name + "{" + strings.Join(labels, ",")
	row := s.rows[key]
	if row == nil {
		row = &Row{Metric: name, Labels: labels, Min: value, Max: value}
		s.rows[key] = row
	}
	row.Sum += value
	row.Min = min(row.Min, value)
	row.Max = max(row.Max, value)
	row.Gateways++
}

// valueOf returns the value of a counter or gauge; isScalar is false for other metric types.
func valueOf(metric *dto.Metric) (value float64, isScalar bool) {
	switch {
	case metric.GetGauge() != nil:
		return metric.GetGauge().GetValue(), true
	case metric.GetCounter() != nil:
		return metric.GetCounter().GetValue(), true
	default:
		return 0, false
	}
}

func labelsOf(metric *dto.Metric) []string {
	var labels []string
	for _, pair := range metric.GetLabel() {
		if pair.GetName() != nodeLabel {
			labels = append(labels, pair.GetName()+"="+pair.GetValue())
		}
	}
	slices.Sort(labels)
	return labels
}

// Rows returns all rows, sorted by metric and labels.
func (s *Status) Rows() []Row {
	rows := make([]Row, 0, len(s.rows))
	for _, row := range s.rows {
		rows = append(rows, *row)
	}
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Metric, b.Metric), slices.Compare(a.Labels, b.Labels))
	})
	return rows
}
