package backend

import "time"

// heldMost bounds how long a request that failed at once counts on its instance: as long as
// an instance is avoided that cannot be reached, after which it must be tried again.
const heldMost = suspicionMost

// EndFailed takes a request that failed off an instance. A request that failed sooner than
// requests of its service usually take counts on for as long as a served one, and twice as
// long with each such failure in a row: an instance that fails at once would otherwise seem
// to be idle and draw more requests than sound ones. Answers that are lost after they were
// made, or come late, have held their place for their time and add nothing.
func (d *Directory) EndFailed(now time.Time, choice Choice, ended Ended) {
	d.End(now, choice.Instance.ID, ended)
	d.mu.Lock()
	defer d.mu.Unlock()
	known := d.members[choice.Instance.ID]
	if known == nil || ended != Failed && ended != Unreachable {
		return
	}
	usual := d.paceOf(known.instance.Service).duration.asTime(priorDuration)
	if now.Sub(choice.PickedAt) >= usual {
		return
	}
	held := min(heldMost, usual<<min(known.quickFailures, mostDoublings))
	known.quickFailures++
	known.held = append(known.held, choice.PickedAt.Add(held))
}

// mostDoublings keeps the time that a failure counts from overflowing.
const mostDoublings = 8

// heldAt returns the failed requests that still count on the instance.
func (m *member) heldAt(now time.Time) int {
	kept := m.held[:0]
	for _, until := range m.held {
		if now.Before(until) {
			kept = append(kept, until)
		}
	}
	m.held = kept
	return len(kept)
}

// answered forgets the failures before an answer.
func (m *member) answered() {
	m.failures, m.quickFailures = 0, 0
	m.held = m.held[:0]
}

// load is the requests believed to be there.
func (m *member) load(now time.Time) int { return m.inFlight + m.heldAt(now) + m.remote }
