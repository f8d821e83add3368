package backend

import "time"

const (
	// maxHold bounds how long a request that failed at once still counts as load: as long as
	// an unreachable instance is avoided, after which it must be tried again.
	maxHold = suspicionMost
	// maxDoublings keeps the hold time from overflowing; maxHold is reached well before.
	maxDoublings = 8
)

// EndFailed takes a request that failed off an instance. A request that failed sooner than
// requests of its service usually take counts on for as long as a served one, and twice as
// long with each such failure in a row: an instance that fails at once would otherwise seem
// to be idle and draw more requests than sound ones. Answers that are lost after they were
// made, or come late, have counted for their time already and add nothing.
func (d *Directory) EndFailed(now time.Time, choice Choice, ended Outcome) {
	d.End(now, choice, ended)
	d.mu.Lock()
	defer d.mu.Unlock()
	known := d.chosen(choice)
	if known == nil || ended != Failed && ended != Unreachable {
		return
	}
	usual := d.paceOf(known.instance.Service).duration.asTime(priorDuration)
	if now.Sub(choice.PickedAt) >= usual {
		return
	}
	held := min(maxHold, usual<<min(known.quickFailures, maxDoublings))
	known.quickFailures++
	known.held = append(known.held, choice.PickedAt.Add(held))
	d.loaded[choice.Instance.ID] = known
}

// heldFailures returns how many failed requests still count as load on the instance.
func (m *member) heldFailures(now time.Time) int {
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

// load returns how many requests are believed to be on the instance.
func (m *member) load(now time.Time) int { return m.inFlight + m.heldFailures(now) + m.remote }
