package admission

import (
	"bytes"
	"cmp"
	"encoding/gob"
	"fmt"
	"slices"
	"time"

	"swiftbank.dev/swiftbank/internal/tally"
)

// Key identifies one figure of a kind or a service.
type Key struct {
	group group
	index uint8
}

const (
	// maxReportedKinds and maxReportedServices bound the size of a report: it contains the kinds
	// with the most programs.
	maxReportedKinds    = 3
	maxReportedServices = 2
	// minReported is the count below which figures are left out of a report. Kinds without programs
	// for some minutes are therefore not reported.
	minReported = 0.05
	// maxGroups bounds the kinds, and the services, that a gateway keeps state of.
	maxGroups = 256
)

// entry is the wire format of the figures of one group.
type entry struct {
	Group   uint64
	Figures []float64
}

// Encode returns the wire format of the figures, nil if there are none. Values are rounded to
// single precision, which is accurate enough for sums and encodes shorter.
func Encode(figures map[Key]float64) ([]byte, error) {
	groups := map[group][]float64{}
	for key, value := range figures {
		for len(groups[key.group]) <= int(key.index) {
			groups[key.group] = append(groups[key.group], 0)
		}
		groups[key.group][key.index] = float64(float32(value))
	}
	if len(groups) == 0 {
		return nil, nil
	}
	var message bytes.Buffer
	if err := gob.NewEncoder(&message).Encode(largestGroups(groups)); err != nil {
		return nil, fmt.Errorf("admission: encoding figures: %w", err)
	}
	return message.Bytes(), nil
}

// largestGroups returns the groups with the most programs or requests, up to the size of a report.
func largestGroups(groups map[group][]float64) []entry {
	var kinds, services []entry
	for name, figures := range groups {
		if name.isService() {
			services = append(services, entry{Group: uint64(name), Figures: figures})
		} else {
			kinds = append(kinds, entry{Group: uint64(name), Figures: figures})
		}
	}
	return append(topGroups(kinds, maxReportedKinds), topGroups(services, maxReportedServices)...)
}

// topGroups returns up to limit groups with the largest first figures.
func topGroups(groups []entry, limit int) []entry {
	slices.SortFunc(groups, func(a, b entry) int {
		return cmp.Or(cmp.Compare(b.Figures[0], a.Figures[0]), cmp.Compare(a.Group, b.Group))
	})
	return groups[:min(limit, len(groups))]
}

// Decode decodes the wire format written by Encode.
func Decode(encoded []byte) (map[Key]float64, error) {
	var groups []entry
	if err := gob.NewDecoder(bytes.NewReader(encoded)).Decode(&groups); err != nil {
		return nil, fmt.Errorf("admission: decoding figures: %w", err)
	}
	figures := map[Key]float64{}
	for _, item := range groups {
		for index, value := range item.Figures[:min(len(item.Figures), 2*utilizationSteps)] {
			if value != 0 {
				figures[Key{group: group(item.Group), index: uint8(index)}] = value
			}
		}
	}
	return figures, nil
}

// Figures returns the figures observed by this gateway.
func (c *Controller) Figures(now time.Time) map[Key]float64 {
	figures := map[Key]float64{}
	for name, state := range c.kinds {
		state.decay(now)
		if state.sums[startedPrograms]+state.sums[laterTurns]+state.sums[arrivalRate] < minReported {
			continue
		}
		for index, value := range state.sums {
			if value > 0 {
				figures[Key{group: name, index: uint8(index)}] = value
			}
		}
	}
	for name, state := range c.services {
		for index, value := range state.slowdown {
			if value > minReported {
				figures[Key{group: name, index: uint8(index)}] = value
			}
		}
	}
	return figures
}

// ZoneFigures returns the sums of the figures of all gateways of this gateway's zone.
func (c *Controller) ZoneFigures(now time.Time) map[Key]float64 {
	return c.reports.ZoneTotals(now, c.Figures(now))
}

// ReplaceReport replaces the previous report of another gateway or zone.
func (c *Controller) ReplaceReport(now time.Time, source tally.Source, figures map[Key]float64) {
	c.reports.Replace(now, source, figures)
}

// fleet holds the sums over all gateways for one service.
type fleet struct {
	kinds    map[group]*sums
	slowdown slowdown
}

// fleetSums adds up the figures of a service over all gateways.
func (c *Controller) fleetSums(now time.Time, service group) fleet {
	total := fleet{kinds: map[group]*sums{}}
	add := func(key Key, value float64) {
		switch {
		case key.group.service() != service:
		case key.group.isService():
			if int(key.index) < len(total.slowdown) {
				total.slowdown[key.index] += value
			}
		default:
			addFigure(total.kinds, key, value)
		}
	}
	for key, value := range c.reports.Sums(now) {
		add(key, value)
	}
	for key, value := range c.Figures(now) {
		add(key, value)
	}
	for key, value := range c.restored.decayedTo(now) {
		add(key, value)
	}
	return total
}

// addFigure adds a figure of a kind to the sums. It ignores figures of newer versions.
func addFigure(kinds map[group]*sums, key Key, value float64) {
	if key.index >= uint8(figureCount) {
		return
	}
	if kinds[key.group] == nil {
		kinds[key.group] = &sums{}
	}
	kinds[key.group][key.index] += value
}
