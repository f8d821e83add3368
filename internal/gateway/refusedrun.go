package gateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"swiftbank.dev/swiftbank/internal/backend"
	"swiftbank.dev/swiftbank/internal/quarantine"
)

// An instance that refuses a request promises that it has not run it. The request may end it all the same: on its way
// into the queue, or by what it left behind. Refusals of full instances are ordinary: they stay in the request's memory,
// and nothing is recorded until an instance ends that has refused the request. The request is sent to few instances at a
// time, until these have outlived their refusals. Only if its caller gets no answer, and within a budget, are the other
// gateways told.

const (
	// refusalWindow is how long after refusals the request is not sent to the last instance that may end under it;
	// within endWindow, it is not sent to more than may end.
	refusalWindow = time.Second
	// maxWatchedRefusals bounds the refusals of finished requests that are watched, so that they do not displace lost
	// runs.
	maxWatchedRefusals = maxWatchedRuns / 2
)

// refusedRun is a send of a request that its instance refused.
type refusedRun struct {
	instance backend.Instance
	life     *backend.Life
	send     int
	at       time.Time
}

// recordRefusedRun records that an instance refused the request. The refusal of a suspect that was sent for the last time
// counts until the instance has outlived it: another gateway would otherwise send the request once more.
func (s *Server) recordRefusedRun(ctx context.Context, r *request, choice backend.Choice) {
	if s.containment == nil {
		return
	}
	refused := refusedRun{instance: choice.Instance, life: r.life, send: r.outcome.sends, at: time.Now()}
	if r.recordedRun != nil && r.outcome.endsBehind >= s.containment.limit-1 {
		lost := s.lostRefusedRun(r, refused)
		lost.run, r.recordedRun = *r.recordedRun, nil
		lost.isSuspected, lost.run.Lost = true, true
		s.recordUnresolved(ctx, lost)
		s.watchLostRun(lost)
	}
	s.endRecordedRun(r)
	isKnown := func(known refusedRun) bool { return known.life == r.life }
	if !slices.ContainsFunc(r.refusedRuns, isKnown) {
		r.refusedRuns = append(r.refusedRuns, refused)
	}
}

// examineRefusals records the instances that have ended since they refused the request.
func (s *Server) examineRefusals(ctx context.Context, r *request) {
	r.refusedRuns = slices.DeleteFunc(r.refusedRuns, func(refused refusedRun) bool {
		if s.observedFor(time.Now(), refused.at) > endWindow {
			return true
		}
		s.followRefusal(refused.instance, refused.life)
		entry := s.directory.EntryStateOf(refused.instance, refused.life, refused.at)
		if entry == backend.EntryListed && !s.pool.HasRefusedSince(refused.instance.ID, refused.at) {
			return false
		}
		return s.checkRefusal(ctx, s.lostRefusedRun(r, refused), entry)
	})
}

// followRefusal tries the address of an instance that has closed its connections after a refusal: it may have ended.
func (s *Server) followRefusal(instance backend.Instance, life *backend.Life) {
	s.pool.CloseExpired(instance.ID)
	if life.HasClosed() {
		s.pool.FollowLife(instance, life, time.Now())
	}
}

// checkRefusal records a refusal whose instance has ended. It reports whether the refusal is settled.
func (s *Server) checkRefusal(ctx context.Context, lost *lostRun, entry backend.EntryState) (settled bool) {
	switch {
	case entry == backend.EntryLeaving && !lost.isSuspected:
	case entry == backend.EntryLeaving:
		s.settleLostRun(ctx, nil, lost, quarantine.Survived, entry, "")
	case entry == backend.EntryReplaced, s.pool.HasRefusedSince(lost.instance.ID, lost.lostAt):
		lost.isLocal = !s.mayShare(lost)
		s.settleLostRun(ctx, nil, lost, quarantine.Ended, entry, "")
	case lost.isSuspected && s.observedFor(time.Now(), lost.lostAt) > endWindow:
		s.settleLostRun(ctx, nil, lost, quarantine.Survived, entry, "")
	default:
		return s.observedFor(time.Now(), lost.lostAt) > endWindow
	}
	return true
}

// lostRefusedRun returns a refusal as a lost run. It has an id of its own: of the send itself it may be recorded already
// that the instance did not get to run it.
func (s *Server) lostRefusedRun(r *request, refused refusedRun) *lostRun {
	run := quarantine.Run{ID: quarantine.RunIDOf(r.id, refused.send), Instance: refused.instance.ID, Born: refused.instance.Born, Life: int(refused.life.ID())}
	return &lostRun{
		requestID: r.id, key: s.keyOf(r), run: run.AsRefused(), instance: refused.instance, life: refused.life,
		cause: runRefused, sentAt: refused.at, lostAt: refused.at, recordWithProgram: r.recordWithProgram,
	}
}

// refusedBy returns the instances that the request may be sent to while they may end after their refusals; confined is
// false if it may be sent to others.
func (s *Server) refusedBy(now time.Time, r *request) (instances []string, confined bool) {
	if len(r.refusedRuns) == 0 || s.containment == nil {
		return nil, false
	}
	pending, recent := 0, 0
	for _, refused := range r.refusedRuns {
		age := s.observedFor(now, refused.at)
		if age >= endWindow {
			continue
		}
		recent++
		if age < refusalWindow {
			pending++
		}
		if !refused.life.HasClosed() {
			instances = append(instances, refused.instance.ID)
		}
	}
	// Of those that end soon, one is spared: refusals alone do not quarantine a request whose instances ended together for
	// another reason.
	mayEndSoon, mayEnd := pending+r.outcome.endsBehind, recent+r.outcome.endsBehind
	return instances, pending > 0 && mayEndSoon >= s.containment.limit-1 || recent > 0 && mayEnd >= s.containment.limit
}

// watchRefusals watches the instances that refused a request that was not answered: its caller may come back. The other
// gateways are told that they are exposed to it before the caller is answered, if the request has a record already or the
// budget for new ones is not used up.
func (s *Server) watchRefusals(r *request) {
	if len(r.refusedRuns) == 0 || r.outcome.status/100 == http.StatusOK/100 {
		return
	}
	now := time.Now()
	isShared := s.containment.hasRecord(s.keyOf(r)) || s.containment.refusedBudget.take(now, int(s.gatewayCount.Load()), len(r.refusedRuns))
	for _, refused := range r.refusedRuns {
		if s.containment.watched() >= maxWatchedRefusals {
			break
		}
		lost := s.lostRefusedRun(r, refused)
		if isShared {
			s.exposeByRefusal(now, lost)
		}
		s.watchLostRun(lost)
	}
	if isShared {
		<-s.shareRecord(s.keyOf(r))
	}
}

// exposeByRefusal records that an instance that refused the request may end of it.
func (s *Server) exposeByRefusal(now time.Time, lost *lostRun) {
	lost.exposedSince = now
	lost.run.Outcome, lost.run.Lost = quarantine.Survived, true
	s.logLostRun(lost, backend.EntryListed, "")
	s.containment.expose(now, lost)
	s.containment.merge(now, lost.key, lost.run)
}

// watched returns the number of runs that are watched.
func (c *containment) watched() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.unresolved)
}
