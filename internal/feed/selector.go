package feed

import (
	"slices"
	"time"
)

const (
	// answerTimeout bounds the wait for the reply to a poll. An upstream replies within
	// pollInterval in any case; the timeout is four times that.
	answerTimeout = 4 * pollInterval
	// trialTimeout is how long a new upstream may take to send fresh data.
	trialTimeout = time.Second
	// minAvoidance and maxAvoidance bound how long a failed upstream is avoided. The time
	// doubles with each consecutive failure. The shortest time ends by the next tick, because
	// the upstreams of a process that starts together with them are ready a moment later.
	minAvoidance = tickInterval / 2
	maxAvoidance = 30 * time.Second
	// maxDoublings is the number of doublings after which maxAvoidance applies.
	maxDoublings = 10
	// stopReadingAfter is how long an upstream must be fresh before this process stops reading
	// the store itself. It spans more than one reply.
	stopReadingAfter = pollInterval + tickInterval
	// ownZoneReturnDelay is how long an upstream of another zone is followed before one of the
	// own zone replaces it: in a starting fleet the members become known one by one.
	ownZoneReturnDelay = 3 * time.Second
)

// SelectorOptions configure a Selector.
type SelectorOptions struct {
	// Zone is the zone of the process.
	Zone string
	// ReadDelay returns how long the process looks for a fresh upstream before it reads the
	// store itself. processes is the number of processes in the fleet.
	ReadDelay func(upstreams, processes int) time.Duration
}

// Selector decides which upstream a process follows and whether it reads the store itself.
// With fresh data from an upstream it does not read. Without, it tries the upstreams in turn
// and reads after a delay. Two processes of a zone may read at the same time, which only costs
// additional calls, so no lease is needed.
type Selector struct {
	options    SelectorOptions
	candidates []Upstream
	processes  int

	// current is the upstream that is followed since followedAt. replied is set once it has
	// replied since then, complete when its last reply covered all kinds.
	current           *Upstream
	followedAt        time.Time
	replied, complete bool
	// lastReplyAt and lastStatus are the time and status of the last reply of any upstream.
	lastReplyAt time.Time
	lastStatus  Status
	// freshSince is when the upstream's data became fresh, zero while it is not.
	freshSince time.Time
	// avoided holds the upstreams that failed, by address.
	avoided map[string]avoidance

	// reading is set while the process reads the store; readAt is when reading begins, zero
	// while an upstream is fresh.
	reading bool
	readAt  time.Time
}

// avoidance is the time until which an upstream is avoided, after how many consecutive
// failures.
type avoidance struct {
	until    time.Time
	failures int
}

// recentFailures returns the number of consecutive failures, or 0 once the avoidance ended
// ownZoneReturnDelay ago: the upstream then ranks like any other.
func (a avoidance) recentFailures(now time.Time) int {
	if now.Sub(a.until) >= ownZoneReturnDelay {
		return 0
	}
	return a.failures
}

// Decision says which upstream to follow and whether to read the store.
type Decision struct {
	// Follow is nil when there is no upstream to follow.
	Follow  *Upstream
	Reading bool
}

// NewSelector returns a selector without candidates.
func NewSelector(options SelectorOptions) *Selector {
	return &Selector{options: options, avoided: map[string]avoidance{}}
}

// Decision returns the current decision.
func (s *Selector) Decision() Decision { return Decision{Follow: s.current, Reading: s.reading} }

// SetCandidates replaces the candidate upstreams, in order of preference, and the number of
// processes in the fleet.
func (s *Selector) SetCandidates(now time.Time, candidates []Upstream, processes int) {
	s.candidates, s.processes = candidates, processes
	if s.current != nil && !slices.Contains(candidates, *s.current) {
		s.unfollow()
	}
	s.Tick(now)
}

// HandleReply handles a reply of an upstream. It ignores replies of upstreams that are not
// followed. complete is set when the upstream knows all kinds.
func (s *Selector) HandleReply(now time.Time, from Upstream, status Status, complete bool) {
	if s.current == nil || *s.current != from {
		return
	}
	s.lastReplyAt, s.lastStatus = now, status
	s.replied, s.complete = true, complete
	s.Tick(now)
}

// HandleFailure handles the failure of an upstream that cannot be reached or does not reply.
func (s *Selector) HandleFailure(now time.Time, from Upstream) {
	if s.current == nil || *s.current != from {
		return
	}
	s.avoid(now)
	s.Tick(now)
}

// UpstreamStatus returns the status of the last reply of an upstream, aged to now.
func (s *Selector) UpstreamStatus(now time.Time) Status {
	if s.lastReplyAt.IsZero() {
		return Status{}
	}
	return s.lastStatus.agedBy(now.Sub(s.lastReplyAt))
}

// upstreamFresh reports whether the upstream has replied with complete and fresh data.
func (s *Selector) upstreamFresh(now time.Time) bool {
	return s.current != nil && s.replied && s.complete && s.UpstreamStatus(now).Fresh()
}

// Tick updates the decision at the given time. It must be called regularly.
func (s *Selector) Tick(now time.Time) {
	if s.upstreamFresh(now) {
		s.tickFresh(now)
		return
	}
	s.freshSince = time.Time{}
	if s.readAt.IsZero() {
		s.readAt = now.Add(s.options.ReadDelay(len(s.candidates), s.processes))
	}
	if !now.Before(s.readAt) {
		s.reading = true
	}
	s.tickSearch(now)
}

// tickFresh handles a tick with a fresh upstream: the process stops reading, and moves to an
// upstream of its own zone if it follows one of another zone.
func (s *Selector) tickFresh(now time.Time) {
	if s.freshSince.IsZero() {
		s.freshSince = now
		s.readAt = time.Time{}
		delete(s.avoided, s.current.Address)
	}
	if now.Sub(s.freshSince) >= stopReadingAfter {
		s.reading = false
	}
	if s.current.Zone == s.options.Zone || now.Sub(s.followedAt) < ownZoneReturnDelay {
		return
	}
	if next := s.nextCandidate(now, s.options.Zone); next != nil {
		s.follow(now, next)
	}
}

// tickSearch leaves an upstream whose trial has ended and tries the next candidate. When all
// candidates are avoided the process keeps its upstream, which may be the first to become
// fresh again. Seeds are dialled again, because another one of them may answer.
func (s *Selector) tickSearch(now time.Time) {
	if s.current != nil && s.onTrial(now) {
		return
	}
	next := s.nextCandidate(now, "")
	if s.current != nil && (next != nil || s.current.hasMultipleAddresses()) {
		s.avoid(now)
	}
	if next != nil {
		s.follow(now, next)
	}
}

// onTrial reports whether the upstream may still send fresh data: it is new and has not
// reported that the store is lost or its data stale.
func (s *Selector) onTrial(now time.Time) bool {
	if s.replied && s.lastStatus.Confirmed && !s.UpstreamStatus(now).Fresh() {
		return false
	}
	return now.Sub(s.followedAt) < trialTimeout
}

// nextCandidate returns the candidate with the fewest recent failures, the first of equals,
// among those that are neither followed nor avoided. While the store refuses many processes,
// untried candidates therefore come before those that recently had no fresh data. A zone other
// than "" limits the choice to candidates of that zone.
func (s *Selector) nextCandidate(now time.Time, zone string) *Upstream {
	var best *Upstream
	fewest := 0
	for _, candidate := range s.candidates {
		avoided := s.avoided[candidate.Address]
		switch {
		case s.current != nil && candidate == *s.current:
		case now.Before(avoided.until) || zone != "" && candidate.Zone != zone:
		case best == nil || avoided.recentFailures(now) < fewest:
			best, fewest = &candidate, avoided.recentFailures(now)
		}
	}
	return best
}

func (s *Selector) follow(now time.Time, upstream *Upstream) {
	s.current, s.followedAt = upstream, now
	s.replied = false
}

// avoid leaves the current upstream and avoids it for a time that doubles with each failure.
func (s *Selector) avoid(now time.Time) {
	avoided := s.avoided[s.current.Address]
	pause := min(maxAvoidance, minAvoidance<<min(avoided.failures, maxDoublings))
	s.avoided[s.current.Address] = avoidance{until: now.Add(pause), failures: avoided.failures + 1}
	s.unfollow()
}

func (s *Selector) unfollow() {
	s.current = nil
	s.freshSince = time.Time{}
}
