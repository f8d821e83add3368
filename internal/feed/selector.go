package feed

import (
	"slices"
	"time"
)

const (
	// answerTimeout is how long an upstream may leave a poll without an answer: four times
	// the interval in which it answers in any case.
	answerTimeout = 4 * pollInterval
	// trialLimit is how long a new upstream may take to show fresh knowledge.
	trialLimit = time.Second
	// avoidFirst and avoidMost bound how long an upstream that failed is passed over; the
	// time doubles with each failure in a row. The first ends with the next tick: a process
	// that starts beside its upstreams finds them a moment later.
	avoidFirst = tickInterval / 2
	avoidMost  = 30 * time.Second
	// mostDoublings reaches avoidMost.
	mostDoublings = 10
	// handBack is how long an upstream must be fresh before this process stops reading
	// the store itself: more than one answer.
	handBack = pollInterval + tickInterval
	// moveHome is how long an upstream is followed before one that ranks before it by
	// zone takes its place: a fleet that starts knows its members one by one.
	moveHome = 3 * time.Second
)

// SelectorOptions say what kind of process chooses.
type SelectorOptions struct {
	// Zone is the process's own.
	Zone string
	// ReadAfter returns how long no fresh upstream may be found before the process reads
	// the store itself; processes is how many the fleet has.
	ReadAfter func(upstreams, processes int) time.Duration
}

// Selector decides which upstream a process follows and whether it reads the store
// itself. With fresh knowledge from an upstream it does not read; without, it tries the
// upstreams in turn and reads after a delay. Two processes of a zone may read at once: that
// costs calls and nothing else, so no lease is needed.
type Selector struct {
	options    SelectorOptions
	candidates []Upstream
	processes  int

	// current is the upstream that is followed, since followedAt; heard is set once it has
	// answered since, complete when it knows all kinds.
	current         *Upstream
	followedAt      time.Time
	heard, complete bool
	// heardAt is when any upstream last answered, with status.
	heardAt time.Time
	status  Status
	// goodSince is when the upstream's knowledge became fresh, zero while it is not.
	goodSince time.Time
	// avoided holds the upstreams that failed, by address.
	avoided map[string]avoidance

	// reading is set while the process reads the store; readAt is when it begins, zero
	// while an upstream is fresh.
	reading bool
	readAt  time.Time
}

// avoidance is how long an upstream is passed over, and after how many failures in a row.
type avoidance struct {
	until    time.Time
	failures int
}

// lately returns the failures in a row, 0 once the upstream could have been tried again for
// moveHome: then it is as good as any other.
func (a avoidance) lately(now time.Time) int {
	if now.Sub(a.until) >= moveHome {
		return 0
	}
	return a.failures
}

// Decision is what the process does now.
type Decision struct {
	// Follow is nil when there is no upstream to follow.
	Follow  *Upstream
	Reading bool
}

// NewSelector returns the choice of a process that knows no upstreams yet.
func NewSelector(options SelectorOptions) *Selector {
	return &Selector{options: options, avoided: map[string]avoidance{}}
}

// Decision returns what the process does now.
func (s *Selector) Decision() Decision { return Decision{Follow: s.current, Reading: s.reading} }

// SetCandidates replaces the upstreams, the preferred ones first, and the number of
// processes in the fleet.
func (s *Selector) SetCandidates(now time.Time, candidates []Upstream, processes int) {
	s.candidates, s.processes = candidates, processes
	if s.current != nil && !slices.Contains(candidates, *s.current) {
		s.unfollow()
	}
	s.Tick(now)
}

// Heard takes an answer of the upstream that is followed. complete says that it knows all
// kinds.
func (s *Selector) Heard(now time.Time, from Upstream, status Status, complete bool) {
	if s.current == nil || *s.current != from {
		return
	}
	s.heardAt, s.status = now, status
	s.heard, s.complete = true, complete
	s.Tick(now)
}

// Failed says that the upstream cannot be reached or does not answer.
func (s *Selector) Failed(now time.Time, from Upstream) {
	if s.current == nil || *s.current != from {
		return
	}
	s.avoid(now)
	s.Tick(now)
}

// UpstreamStatus returns the status of what the upstream told.
func (s *Selector) UpstreamStatus(now time.Time) Status {
	if s.heardAt.IsZero() {
		return Status{}
	}
	return s.status.after(now.Sub(s.heardAt))
}

// good reports whether the upstream's knowledge is fresh.
func (s *Selector) good(now time.Time) bool {
	return s.current != nil && s.heard && s.complete && s.UpstreamStatus(now).Fresh()
}

// Tick decides anew as time passes.
func (s *Selector) Tick(now time.Time) {
	if s.good(now) {
		s.tickGood(now)
		return
	}
	s.goodSince = time.Time{}
	if s.readAt.IsZero() {
		s.readAt = now.Add(s.options.ReadAfter(len(s.candidates), s.processes))
	}
	if !now.Before(s.readAt) {
		s.reading = true
	}
	s.tickSearch(now)
}

// tickGood goes on with a fresh upstream: the process stops reading, and moves to its own
// zone if it followed another one.
func (s *Selector) tickGood(now time.Time) {
	if s.goodSince.IsZero() {
		s.goodSince = now
		s.readAt = time.Time{}
		delete(s.avoided, s.current.Address)
	}
	if now.Sub(s.goodSince) >= handBack {
		s.reading = false
	}
	if s.current.Zone == s.options.Zone || now.Sub(s.followedAt) < moveHome {
		return
	}
	if next := s.next(now, s.options.Zone); next != nil {
		s.follow(now, next)
	}
}

// tickSearch leaves an upstream that had its time, and tries the next one. When all have
// failed lately the process stays where it is: what it follows may be the first to be
// fresh again. Seeds are tried again, for another one of them may answer.
func (s *Selector) tickSearch(now time.Time) {
	if s.current != nil && s.onTrial(now) {
		return
	}
	next := s.next(now, "")
	if s.current != nil && (next != nil || s.current.hasSeveral()) {
		s.avoid(now)
	}
	if next != nil {
		s.follow(now, next)
	}
}

// onTrial reports whether the upstream may still show fresh knowledge: it is new, and has
// not said that the store is lost to it or its knowledge stale.
func (s *Selector) onTrial(now time.Time) bool {
	if s.heard && s.status.Confirmed && !s.UpstreamStatus(now).Fresh() {
		return false
	}
	return now.Sub(s.followedAt) < trialLimit
}

// next returns the candidate that failed least often of late, of those that are neither
// followed nor avoided, and of equals the first. While the store turns many processes away,
// those that were not tried yet thus come before those that had nothing fresh a moment ago.
// A zone limits the choice to its candidates; "" does not.
func (s *Selector) next(now time.Time, zone string) *Upstream {
	var best *Upstream
	fewest := 0
	for _, candidate := range s.candidates {
		avoided := s.avoided[candidate.Address]
		switch {
		case s.current != nil && candidate == *s.current:
		case now.Before(avoided.until) || zone != "" && candidate.Zone != zone:
		case best == nil || avoided.lately(now) < fewest:
			best, fewest = &candidate, avoided.lately(now)
		}
	}
	return best
}

func (s *Selector) follow(now time.Time, upstream *Upstream) {
	s.current, s.followedAt = upstream, now
	s.heard = false
}

// avoid leaves the upstream that is followed.
func (s *Selector) avoid(now time.Time) {
	avoided := s.avoided[s.current.Address]
	pause := min(avoidMost, avoidFirst<<min(avoided.failures, mostDoublings))
	s.avoided[s.current.Address] = avoidance{until: now.Add(pause), failures: avoided.failures + 1}
	s.unfollow()
}

func (s *Selector) unfollow() {
	s.current = nil
	s.goodSince = time.Time{}
}
