package backend

import "time"

const (
	// maxHold bounds how long a request that failed immediately still counts as load. It equals the
	// longest time for which an unreachable instance is avoided, after which the instance must be
	// tried again.
	maxHold = maxAvoidTime
	// maxHoldDoublings prevents overflow of the hold time; maxHold is reached well before.
	maxHoldDoublings = 8
)

// EndFailed records the end of a failed request. A request that failed in less than the mean
// duration of its service keeps counting as load for that duration, doubled with each consecutive
// failure of this kind: an instance that fails immediately would otherwise seem idle and attract
// more requests than healthy ones. Requests that failed later have already counted for their time
// and add nothing.
func (d *Directory) EndFailed(now time.Time, choice Choice, outcome Outcome) {
	d.End(now, choice, outcome)
	d.mu.Lock()
	defer d.mu.Unlock()
	m := d.memberOf(choice)
	if m == nil || outcome != Failed && outcome != Unreachable {
		return
	}
	usual := d.serviceSpeedOf(m.instance.Service).duration.durationOr(priorDurationMS)
	if now.Sub(choice.PickedAt) >= usual {
		return
	}
	hold := min(maxHold, usual<<min(m.quickFailures, maxHoldDoublings))
	m.quickFailures++
	m.failureHolds = append(m.failureHolds, choice.PickedAt.Add(hold))
	d.loaded[choice.Instance.ID] = m
}

// heldFailures returns how many failed requests still count as load on the instance.
func (m *member) heldFailures(now time.Time) int {
	active := m.failureHolds[:0]
	for _, until := range m.failureHolds {
		if now.Before(until) {
			active = append(active, until)
		}
	}
	m.failureHolds = active
	return len(active)
}

// resetFailures clears the failure state after a successful response.
func (m *member) resetFailures() {
	m.failures, m.quickFailures = 0, 0
	m.failureHolds = m.failureHolds[:0]
}

// load returns the estimated number of requests on the instance.
func (m *member) load(now time.Time) int { return m.inFlight + m.heldFailures(now) + m.remoteInFlight }
