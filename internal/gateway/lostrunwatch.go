package gateway

import (
	"context"
	"slices"
	"time"

	"swiftbank.dev/swiftbank/internal/backend"
	"swiftbank.dev/swiftbank/internal/quarantine"
)

const (
	// watchInterval is how often the outcomes of watched runs are checked.
	watchInterval = 250 * time.Millisecond
	// endWindow is how long an instance may end after a run was lost for the run to count as its cause: a process
	// that is about to end may keep its listener open for a while. Requests under which several instances are in
	// trouble wait for that long.
	endWindow = 2400 * time.Millisecond
	// watchWindow is the same for a run that was abandoned, which may still be in progress. It covers the time
	// until the list shows that an instance was replaced.
	watchWindow = 5 * time.Second
	// troubleSilence is how long an instance must have sent nothing for an abandoned run to count against its
	// request.
	troubleSilence = 500 * time.Millisecond
	// lapsedRenewals is the number of missed renewals after which an instance without an entry has ended and
	// one with an entry has not: one more than the entry survives.
	lapsedRenewals = 4
	// maxCheckGap is the time between two checks from which on an end between them may have been missed: an address is
	// refused for longer than that before another process has it.
	maxCheckGap = time.Second
	// maxWatchedRuns bounds the watched runs; the oldest are dropped.
	maxWatchedRuns = 4096
)

// watchLostRun watches a run until the list of instances, or the instance itself, tells its outcome.
func (s *Server) watchLostRun(lost *lostRun) {
	c := s.containment
	lost.isWatched = true
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handled[lost.run.ID] = time.Now()
	if len(c.unresolved) == 0 {
		time.AfterFunc(watchInterval, s.checkWatchedRuns)
	}
	if len(c.unresolved) == maxWatchedRuns {
		c.unresolved = slices.Delete(c.unresolved, 0, 1)
	}
	c.unresolved = append(c.unresolved, lost)
}

// checkWatchedRuns settles the watched runs whose outcome is known, and schedules the next check.
func (s *Server) checkWatchedRuns() {
	now := time.Now()
	c := s.containment
	c.mu.Lock()
	watched := c.unresolved
	c.unresolved = nil
	c.mu.Unlock()
	var remaining []*lostRun
	for _, lost := range watched {
		lost.recordCheck(now)
		if s.checkWatchedRun(now, lost) {
			continue
		}
		s.followLostRun(lost)
		remaining = append(remaining, lost)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	scheduled := len(c.unresolved) > 0 // by a run that was added in the meantime
	c.unresolved = append(remaining, c.unresolved...)
	if len(c.unresolved) > 0 && !scheduled {
		time.AfterFunc(watchInterval, s.checkWatchedRuns)
	}
}

// followLostRun checks on the instance of a watched run, if it may be about to end. An end is found sooner than the list
// tells it.
func (s *Server) followLostRun(lost *lostRun) {
	if lost.isAdopted {
		return // it opens no connections
	}
	if lost.cause == runRefused {
		s.followRefusal(lost.instance, lost.life)
		return
	}
	if lost.run.Outcome == quarantine.Silent {
		return
	}
	if lost.isExposed() {
		s.pool.KeepWitness(lost.instance, lost.life)
		return
	}
	entry := s.directory.EntryStateOf(lost.instance, lost.life, lost.sentAt)
	s.suspectLostRun(context.Background(), lost, entry, "")
	if !lost.isSuspected {
		return
	}
	if !lost.run.Unproven && !lost.isProvable() {
		lost.run.Unproven = true
		s.logLostRun(lost, entry, "")
		s.recordUnresolved(context.Background(), lost)
	}
	if lost.isAbandoned() && !lost.run.Unproven && !lost.life.IsOpen() && !lost.life.HasClosed() {
		lost.life = s.pool.LifeOf(lost.instance.ID) // this gateway closed its last connection to the life that ran it
	}
	s.pool.FollowLife(lost.instance, lost.life, lost.confirmedFrom())
}

// checkWatchedRun settles a watched run if its outcome is known. It reports whether that is so.
func (s *Server) checkWatchedRun(now time.Time, lost *lostRun) (done bool) {
	entry := s.directory.EntryStateOf(lost.instance, lost.life, lost.sentAt)
	s.pool.CloseExpired(lost.instance.ID)
	if lost.isAdopted {
		return s.checkAdoptedRun(now, lost, entry)
	}
	if lost.isExposed() {
		return s.checkExposedRun(now, lost, entry)
	}
	if lost.cause == runRefused {
		return s.checkRefusal(context.Background(), lost, entry)
	}
	silent := lost.run.Outcome == quarantine.Silent
	lost.hasLeft = lost.hasLeft || entry == backend.EntryLeaving && s.mayHaveStopped(lost, lost.endedBy(now))
	switch {
	case lost.hasLeft:
		s.settleLostRun(context.Background(), nil, lost, quarantine.Survived, entry, "")
	case entry == backend.EntryReplaced, entry == backend.EntryGone && silent:
		s.settleLostRun(context.Background(), nil, lost, quarantine.Ended, entry, "")
	case lost.isOutlived(now):
		s.settleOutlivedRun(now, lost, entry)
		return !lost.isExposed()
	case s.pool.HasRefusedSince(lost.instance.ID, lost.lostAt):
		s.settleLostRun(context.Background(), nil, lost, quarantine.Ended, entry, backend.Refused.String())
	case entry == backend.EntryGone && (lost.isAbandoned() || now.After(lost.mayEndUntil())):
		go s.probeGone(lost)
	case silent && lost.cause == machineSilent && lost.life.HasClosed() && s.listedFor(now, lost, entry) >= s.lapseTime():
		s.logLostRun(lost, entry, "") // the process has closed its connections, so the entry may be another life's
	case s.isShownByList(now, lost, entry):
		s.settleLostRun(context.Background(), nil, lost, quarantine.Survived, entry, "")
	case lost.run.Unproven && now.After(lost.mayEndUntil()):
		s.logLostRun(lost, entry, "")
	default:
		return false
	}
	return true
}

// isOutlived reports whether the life that got the request is there although the run could end it no longer: its machine
// has answered by then, but for one check, and a connection that it accepted is open.
func (l *lostRun) isOutlived(now time.Time) bool {
	return now.After(l.mayEndUntil()) && l.life.ConfirmedAt().After(l.confirmedFrom()) && l.life.IsOpen()
}

// confirmedFrom returns the time from which on a contact with the life counts.
func (l *lostRun) confirmedFrom() time.Time { return l.mayEndUntil().Add(-watchInterval) }

// isShownByList reports whether the list shows that the instance outlived the run: its entry was there for long enough,
// and nothing else tells of an end. The entry of an instance that is back at its address looks the same.
func (s *Server) isShownByList(now time.Time, lost *lostRun, entry backend.EntryState) bool {
	listedFor := s.listedFor(now, lost, entry)
	if lost.run.Outcome == quarantine.Silent && listedFor >= s.lapseTime() {
		return true
	}
	return lost.isAbandoned() && !lost.life.HasClosed() && listedFor >= max(watchWindow, s.lapseTime())
}

// settleOutlivedRun records that an instance has outlived a run, and with it the earlier runs of the request at the
// same instance of which nothing could be shown. A machine that did not answer for a moment, and is back before the run
// could end the instance, shows nothing of those.
func (s *Server) settleOutlivedRun(now time.Time, lost *lostRun, entry backend.EntryState) {
	if lost.mayEndLater() && s.containment.isRecorded(lost) {
		lost.exposedSince = now
		s.containment.expose(now, lost)
	}
	s.settleLostRun(context.Background(), nil, lost, quarantine.Survived, entry, "")
	if !lost.mayEndLater() {
		return
	}
	for _, run := range s.containment.unprovenAt(lost.key, lost.instance.ID) {
		run.Outcome, run.Lost, run.Unproven = quarantine.Survived, false, false
		s.containment.merge(time.Now(), lost.key, run)
		s.replicas.RecordRunInBackground(lost.key, run)
		s.shareRecord(lost.key)
	}
}

// unprovenAt returns the unproven runs of a request at an instance.
func (c *containment) unprovenAt(key quarantine.Key, instance string) []quarantine.Run {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.UnprovenAt(key, instance)
}

// recordCheck records that the instance is checked. If checks were missed, it may have ended and started again at its
// address meanwhile: only the list tells that.
func (l *lostRun) recordCheck(now time.Time) {
	last := l.lostAt
	if l.checkedAt.After(last) {
		last = l.checkedAt
	}
	if now.Sub(last) > maxCheckGap {
		l.unobservedUntil = now
	}
	l.checkedAt = now
}

// mayEndUntil returns the time until which the run may end its instance: one that was abandoned may still be
// in progress.
func (l *lostRun) mayEndUntil() time.Time {
	switch {
	case l.isAbandoned():
		return l.lostAt.Add(watchWindow)
	case l.cause == machineSilent:
		return l.lostAt
	default:
		return l.lostAt.Add(endWindow)
	}
}

// endedBy returns the time by which the instance has ended, if it has: a silent one when the run was lost.
func (l *lostRun) endedBy(now time.Time) time.Time {
	if l.run.Outcome == quarantine.Silent {
		return l.lostAt
	}
	return now
}

// listedFor returns how long the instance's entry has been there since the run was lost; 0 if it is not there.
// The time before an outage of the store or a suspension of this gateway does not count: entries do not lapse during
// the one, and are not received during the other.
func (s *Server) listedFor(now time.Time, lost *lostRun, entry backend.EntryState) time.Duration {
	if entry != backend.EntryListed {
		return 0
	}
	since := lost.lostAt
	if lost.unobservedUntil.After(since) {
		since = lost.unobservedUntil
	}
	return min(now.Sub(since), s.freshFor(now))
}

// lapseTime returns the time after which the entry of an instance that has ended is gone.
func (s *Server) lapseTime() time.Duration { return lapsedRenewals * s.options.RenewalInterval }

// probeGone settles a lost run of an instance that is no longer listed: some finish their requests first, and
// have not ended then. Others have ended, and their address is in use again.
func (s *Server) probeGone(lost *lostRun) {
	contact, known := s.pool.ContactSince(context.Background(), lost.instance, time.Now())
	if known && contact != backend.Accepted || lost.life.HasClosed() {
		s.settleLostRun(context.Background(), nil, lost, quarantine.Ended, backend.EntryGone, contact.String())
		return
	}
	s.settleLostRun(context.Background(), nil, lost, quarantine.Survived, backend.EntryGone, contact.String())
}
