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

// Key names one figure of a kind or a service.
type Key struct {
	group group
	place uint8
}

const (
	// mostKinds and mostServices bound a report: it tells of the kinds with the most programs.
	mostKinds    = 3
	mostServices = 2
	// leastTold is the count below which a report leaves figures out: so it tells of no kinds
	// once no programs have come for some minutes.
	leastTold = 0.05
	// mostRemembered bounds the kinds that a gateway learns.
	mostRemembered = 256
)

// told is one group's figures as they travel.
type told struct {
	Group   uint64
	Figures []float64
}

// Encode returns figures as they travel, nil if there are none. Single precision is enough for
// sums, and shorter.
func Encode(figures map[Key]float64) ([]byte, error) {
	groups := map[group][]float64{}
	for key, value := range figures {
		for len(groups[key.group]) <= int(key.place) {
			groups[key.group] = append(groups[key.group], 0)
		}
		groups[key.group][key.place] = float64(float32(value))
	}
	if len(groups) == 0 {
		return nil, nil
	}
	var message bytes.Buffer
	if err := gob.NewEncoder(&message).Encode(largest(groups)); err != nil {
		return nil, fmt.Errorf("admission: encoding figures: %w", err)
	}
	return message.Bytes(), nil
}

// largest returns the groups with the most programs or requests, as many as a report holds.
func largest(groups map[group][]float64) []told {
	var kinds, services []told
	for name, figures := range groups {
		if name.isService() {
			services = append(services, told{Group: uint64(name), Figures: figures})
		} else {
			kinds = append(kinds, told{Group: uint64(name), Figures: figures})
		}
	}
	return append(most(kinds, mostKinds), most(services, mostServices)...)
}

// most returns up to count groups with the largest first figures.
func most(groups []told, count int) []told {
	slices.SortFunc(groups, func(a, b told) int {
		return cmp.Or(cmp.Compare(b.Figures[0], a.Figures[0]), cmp.Compare(a.Group, b.Group))
	})
	return groups[:min(count, len(groups))]
}

// Decode reads what Encode wrote.
func Decode(encoded []byte) (map[Key]float64, error) {
	var groups []told
	if err := gob.NewDecoder(bytes.NewReader(encoded)).Decode(&groups); err != nil {
		return nil, fmt.Errorf("admission: decoding figures: %w", err)
	}
	figures := map[Key]float64{}
	for _, each := range groups {
		for place, value := range each.Figures[:min(len(each.Figures), 2*shareSteps)] {
			if value != 0 {
				figures[Key{group: group(each.Group), place: uint8(place)}] = value
			}
		}
	}
	return figures, nil
}

// Figures returns what this gateway knows itself.
func (c *Controller) Figures(now time.Time) map[Key]float64 {
	figures := map[Key]float64{}
	for name, known := range c.kinds {
		known.fade(now)
		if known.sums[begun]+known.sums[later]+known.sums[asked] < leastTold {
			continue
		}
		for place, value := range known.sums {
			if value > 0 {
				figures[Key{group: name, place: uint8(place)}] = value
			}
		}
	}
	for name, known := range c.services {
		for place, value := range known.slowdown {
			if value > leastTold {
				figures[Key{group: name, place: uint8(place)}] = value
			}
		}
	}
	return figures
}

// ZoneFigures returns what the gateways of the own zone know together.
func (c *Controller) ZoneFigures(now time.Time) map[Key]float64 {
	return c.others.ZoneTotals(now, c.Figures(now))
}

// ReplaceReport replaces what another gateway, or another zone, said before.
func (c *Controller) ReplaceReport(now time.Time, source tally.Source, figures map[Key]float64) {
	c.others.Replace(now, source, figures)
}

// fleet is the sums over all gateways for one service.
type fleet struct {
	kinds    map[group]*sums
	slowdown slowdown
}

// fleetOf adds up what is known of a service.
func (c *Controller) fleetOf(now time.Time, service group) fleet {
	total := fleet{kinds: map[group]*sums{}}
	add := func(key Key, value float64) {
		switch {
		case key.group.service() != service:
		case key.group.isService():
			if int(key.place) < len(total.slowdown) {
				total.slowdown[key.place] += value
			}
		default:
			addTo(total.kinds, key, value)
		}
	}
	for key, value := range c.others.Sums(now) {
		add(key, value)
	}
	for key, value := range c.Figures(now) {
		add(key, value)
	}
	for key, value := range c.recalled.fadedTo(now) {
		add(key, value)
	}
	return total
}

// addTo adds a kind's figure to the sums of kinds. Figures of later versions are passed over.
func addTo(kinds map[group]*sums, key Key, value float64) {
	if key.place >= uint8(kindFigures) {
		return
	}
	if kinds[key.group] == nil {
		kinds[key.group] = &sums{}
	}
	kinds[key.group][key.place] += value
}
