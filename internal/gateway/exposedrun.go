package gateway

import (
	"context"
	"slices"
	"time"

	"swiftbank.dev/swiftbank/internal/backend"
	"swiftbank.dev/swiftbank/internal/quarantine"
)

// An instance that has outlived a lost run may still end of it, long after the request was sent to others. So it is
// watched on, and its end counts as a late one. Until then it is exposed: the request may be sent to it again, which
// puts no further instance at risk, but to others only while the ends, the possible ends and the exposed instances are
// fewer than the instances that may end.

// exposure is a life of an instance that got a lost run of a request, and may still end of it.
type exposure struct {
	key      quarantine.Key
	instance string
	life     *backend.Life
	since    time.Time
}

// hasEnded reports whether an end of the instance does not count any more.
func (e exposure) hasEnded(now time.Time) bool { return now.Sub(e.since) >= quarantine.ExposedTTL }

// isExposed reports whether the instance has outlived the run, and may still end of it.
func (l *lostRun) isExposed() bool { return !l.exposedSince.IsZero() }

// mayEndLater reports whether an end of the instance still counts once it has outlived the run: not if its machine was
// only cut off.
func (l *lostRun) mayEndLater() bool { return l.cause != machineSilent && l.cause != runRefused }

// mayEndFrom returns the time from which on an end of the exposed instance is a late one. One that refused the request is
// exposed at once.
func (l *lostRun) mayEndFrom() time.Time {
	if l.cause == runRefused {
		return l.lostAt
	}
	return l.exposedSince
}

// checkExposedRun records a late end. It reports whether the run need not be watched any more.
func (s *Server) checkExposedRun(now time.Time, lost *lostRun, entry backend.EntryState) (done bool) {
	// After a refusal, connections that are closed prove nothing: refusals are ordinary, and so are resets.
	hasClosed := lost.life.HasClosed() && lost.cause != runRefused
	hasRefused := s.pool.HasRefusedSince(lost.instance.ID, lost.mayEndFrom())
	switch {
	case !s.containment.countsLate(lost), s.observedFor(now, lost.exposedSince) >= lost.run.ExposedFor(), entry == backend.EntryLeaving,
		entry == backend.EntryGone && !hasClosed && !hasRefused:
		return true
	case entry == backend.EntryReplaced, entry == backend.EntryGone, hasRefused:
		lost.beginLate()
		s.settleLostRun(context.Background(), nil, lost, quarantine.Ended, entry, "")
		return true
	case hasClosed && !lost.isLate:
		lost.beginLate()
		lost.run.Outcome, lost.run.Lost, lost.run.Unproven = quarantine.Running, true, true
		lost.isLocal = !s.mayShare(lost)
		s.logLostRun(lost, entry, "")
		s.recordUnresolved(context.Background(), lost)
	}
	return false
}

// beginLate makes the run one of its own, of which an end can be recorded.
func (l *lostRun) beginLate() {
	if !l.isLate {
		l.isLate, l.run = true, l.run.AsLate()
	}
}

// countsLate reports whether a late end of a lost run counts: its request has not been released. The records of refusals are
// dropped soon, also while this gateway is suspended.
func (c *containment) countsLate(lost *lostRun) bool {
	runs := c.runsOf(lost.key)
	index := slices.IndexFunc(runs, func(run quarantine.Run) bool { return run.ID == lost.run.ID })
	if index < 0 {
		return lost.cause == runRefused
	}
	return runs[index].Outcome != quarantine.Released
}

// confinedTo returns the instances that the request may be sent to; confined is false if it may be sent to any.
func (s *Server) confinedTo(now time.Time, r *request) (instances []string, confined bool) {
	if instances, confined := s.exposedTo(r, ""); confined {
		return instances, true
	}
	return s.refusedBy(now, r)
}

// exposedTo returns the instances that are exposed to the request, besides by the run with the given id, with those that
// have refused it; confined is false if it may be sent to others. Those that have left as planned are not: they do not end
// of it any more.
func (s *Server) exposedTo(r *request, without string) (instances []string, confined bool) {
	c := s.containment
	if c == nil || c.records.Load() == 0 {
		return nil, false
	}
	standing := c.standing(s.keyOf(r), without, nil)
	if standing.Exposed == 0 {
		return nil, false
	}
	instances = slices.DeleteFunc(c.exposed(s.keyOf(r), without), func(id string) bool { return !s.directory.IsServing(id) })
	refusing, _ := s.refusedBy(time.Now(), r)
	for _, id := range refusing {
		if !slices.Contains(instances, id) {
			instances = append(instances, id)
		}
	}
	standing.Exposed = len(instances)
	return instances, standing.IsConfined(c.currentLimit())
}

// isConfinedFrom reports whether the request must not be sent to a life of an instance: it may end it besides those that
// may end of it already. The run with the given id is left out.
func (s *Server) isConfinedFrom(r *request, instance backend.Instance, life *backend.Life, without string) bool {
	if instances, confined := s.exposedTo(r, without); confined {
		isKnown, isSame := s.containment.isExposed(s.keyOf(r), instance.ID, life)
		return !isSame && (isKnown || !slices.Contains(instances, instance.ID))
	}
	_, confined := s.refusedBy(time.Now(), r)
	return confined && !slices.ContainsFunc(r.refusedRuns, func(known refusedRun) bool { return known.life == life })
}

// isExposed reports whether a life of the instance is exposed to a request as far as this gateway knows, and whether it is
// the given one.
func (c *containment) isExposed(key quarantine.Key, instance string, life *backend.Life) (known, same bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, exposed := range c.exposures {
		if exposed.key == key && exposed.instance == instance {
			known, same = true, same || exposed.life == life
		}
	}
	return known, same
}

// expose records that the life of the instance that got a lost run may end of it.
func (c *containment) expose(now time.Time, lost *lostRun) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exposures = slices.DeleteFunc(c.exposures, func(known exposure) bool {
		return known.hasEnded(now) || known.key == lost.key && known.life == lost.life
	})
	if len(c.exposures) >= maxWatchedRuns {
		c.exposures = slices.Delete(c.exposures, 0, 1)
	}
	c.exposures = append(c.exposures, exposure{key: lost.key, instance: lost.instance.ID, life: lost.life, since: now})
}
