// Package loadstatus sums up what gateways' metrics say of load control over the whole fleet:
// room, what is committed and who was refused, by service and rank. Histograms are left out.
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

// nodeLabel tells the processes apart; figures are summed over it.
const nodeLabel = "node"

// Row is one figure of load control over all gateways that were read.
type Row struct {
	Metric string `json:"metric"`
	// Labels are the metric's labels without the node, as name=value in the order of names.
	Labels []string `json:"labels,omitempty"`
	// Sum is over the gateways, Least and Most the extremes among them; Gateways is how many
	// said something.
	Sum      float64 `json:"sum"`
	Min      float64 `json:"least"`
	Max      float64 `json:"most"`
	Gateways int     `json:"gateways"`
}

// Status gathers the figures of several gateways.
type Status struct {
	prefixes []string
	rows     map[string]*Row
}

// New returns a status of the metrics whose names begin with one of the prefixes.
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
		if !s.shows(name) {
			continue
		}
		for _, metric := range family.GetMetric() {
			s.add(name, metric)
		}
	}
	return nil
}

// shows reports whether a metric is one of load control.
func (s *Status) shows(name string) bool {
	return slices.ContainsFunc(s.prefixes, func(prefix string) bool { return strings.HasPrefix(name, prefix) })
}

func (s *Status) add(name string, metric *dto.Metric) {
	value, single := valueOf(metric)
	if !single {
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

// valueOf returns the value of a counter or gauge; single is false for histograms.
func valueOf(metric *dto.Metric) (value float64, single bool) {
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

// Rows returns all figures in the order of their metrics and labels.
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
