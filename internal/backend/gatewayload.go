package backend

import (
	"time"
)

// This file holds what gateways report to each other of the load that they put on instances.

// LoadSource identifies whose requests a load report counts: those of one gateway of the same zone,
// or of all gateways of another zone. Exactly one field is set.
type LoadSource struct {
	Gateway string
	Zone    string
}

// loadReport is the last report of a source's requests in flight, by instance.
type loadReport struct {
	loads map[string]int
	at    time.Time
}

// Loads returns this gateway's requests in flight by instance, including immediate failures that
// still count as load. Instances without load are omitted.
func (d *Directory) Loads(now time.Time) map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	loads := map[string]int{}
	for id, m := range d.loaded {
		load := m.inFlight + m.heldFailures(now)
		if load == 0 || d.members[id] != m {
			delete(d.loaded, id)
			continue
		}
		loads[id] = load
	}
	return loads
}

// ZoneLoads returns the known requests in flight of all gateways of this gateway's zone, by
// instance.
func (d *Directory) ZoneLoads(now time.Time) map[string]int {
	loads := d.Loads(now)
	d.mu.Lock()
	defer d.mu.Unlock()
	for source, report := range d.reports {
		if source.Zone != "" {
			continue
		}
		for id, requests := range report.loads {
			loads[id] += requests
		}
	}
	return loads
}

// SetRemoteLoads replaces the requests in flight reported by a source. Expired reports of all
// sources are dropped.
func (d *Directory) SetRemoteLoads(now time.Time, source LoadSource, loads map[string]int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if before, exists := d.reports[source]; exists {
		d.intervals.observe(source, now.Sub(before.at))
	}
	d.adjustRemote(d.reports[source].loads, -1)
	d.adjustRemote(loads, 1)
	d.reports[source] = loadReport{loads: loads, at: now}
	for reporter, report := range d.reports {
		if now.Sub(report.at) > d.reportTTL() {
			d.adjustRemote(report.loads, -1)
			delete(d.reports, reporter)
		}
	}
}

// reportTTL returns how long a load report is used. It grows with the number of sources, because
// each one then reports less often to this gateway.
func (d *Directory) reportTTL() time.Duration {
	const sourcesAtOnce = 8
	return baseReportTTL * time.Duration(1+len(d.reports)/sourcesAtOnce)
}

func (d *Directory) adjustRemote(loads map[string]int, sign int) {
	for id, requests := range loads {
		if m := d.members[id]; m != nil {
			m.remoteInFlight = max(0, m.remoteInFlight+sign*requests)
		}
	}
}
