package quorum

import (
	"cmp"
	"slices"
	"time"
)

const (
	// relaysUnproven is how many gateways are asked at once while none is known to
	// reach the replicas.
	relaysUnproven = 2
	// relayFailureLife is how long a gateway that did not answer is asked last.
	relayFailureLife = time.Second
)

// relayOrder decides which gateways are asked to relay. It is a pure state machine:
// time comes in with each call.
type relayOrder struct {
	// candidates are the names of the other gateways, the nearest first.
	candidates []string
	states     map[string]*relayState
	// turn lets unproven candidates be asked one after another; picked are those of the
	// present turn, which began at pickedAt.
	turn     int
	picked   []string
	pickedAt time.Time
}

// relayState is what is known of one candidate.
type relayState struct {
	// answeredAt is when it last passed an answer on, failedAt when it last said that
	// it does not reach a replica, or did not answer in time.
	answeredAt, failedAt time.Time
	// askedAt is when the oldest request that it has not answered was sent.
	askedAt time.Time
}

func newRelayOrder() *relayOrder { return &relayOrder{states: map[string]*relayState{}} }

// setCandidates replaces the other gateways, the nearest first.
func (o *relayOrder) setCandidates(names []string) {
	o.candidates = names
	o.picked = nil
	for name := range o.states {
		if !slices.Contains(names, name) {
			delete(o.states, name)
		}
	}
}

func (o *relayOrder) state(name string) *relayState {
	known := o.states[name]
	if known == nil {
		known = &relayState{}
		o.states[name] = known
	}
	return known
}

// asked notes a request to a candidate.
func (o *relayOrder) asked(now time.Time, name string) {
	if known := o.state(name); known.askedAt.IsZero() {
		known.askedAt = now
	}
}

// answered notes a replica's answer that came by a candidate.
func (o *relayOrder) answered(now time.Time, name string) {
	known := o.state(name)
	known.answeredAt, known.askedAt = now, time.Time{}
}

// unreachable notes that a candidate does not reach a replica. That tells of the replica
// alone if another one answered by the candidate moments ago.
func (o *relayOrder) unreachable(now time.Time, name string) {
	known := o.state(name)
	if !known.answeredAt.IsZero() && now.Sub(known.answeredAt) < relayFailureLife {
		known.askedAt = time.Time{}
		return
	}
	o.failed(now, name)
}

// failed notes that a candidate does not reach the replicas, or cannot be reached.
func (o *relayOrder) failed(now time.Time, name string) {
	known := o.state(name)
	known.failedAt, known.askedAt = now, time.Time{}
	if slices.Contains(o.picked, name) {
		o.picked = nil
	}
}

// pick returns the gateways to ask: the one that answered last, or several while none
// is proven. A gateway that left a request unanswered for longer than the timeout
// counts as failed.
func (o *relayOrder) pick(now time.Time, timeout time.Duration) []string {
	for name, known := range o.states {
		if !known.askedAt.IsZero() && now.Sub(known.askedAt) > timeout {
			o.failed(now, name)
		}
	}
	if best := o.proven(); best != "" {
		return []string{best}
	}
	if len(o.picked) == 0 || now.Sub(o.pickedAt) > timeout {
		o.picked, o.pickedAt = o.unproven(now), now
	}
	return o.picked
}

// proven returns the candidate that answered last, if it has not failed since.
func (o *relayOrder) proven() string {
	best := ""
	for _, name := range o.candidates {
		known := o.states[name]
		if known == nil || known.answeredAt.IsZero() || !known.answeredAt.After(known.failedAt) {
			continue
		}
		if best == "" || known.answeredAt.After(o.states[best].answeredAt) {
			best = name
		}
	}
	return best
}

// unproven returns the next candidates in turn. Those that failed moments ago come last.
func (o *relayOrder) unproven(now time.Time) []string {
	if len(o.candidates) == 0 {
		return nil
	}
	start := o.turn % len(o.candidates)
	o.turn += relaysUnproven
	ordered := append(slices.Clone(o.candidates[start:]), o.candidates[:start]...)
	slices.SortStableFunc(ordered, func(a, b string) int {
		return cmp.Compare(o.failedLately(now, a), o.failedLately(now, b))
	})
	return ordered[:min(relaysUnproven, len(ordered))]
}

// failedLately returns 1 for a candidate that failed moments ago, else 0.
func (o *relayOrder) failedLately(now time.Time, name string) int {
	known := o.states[name]
	if known != nil && !known.failedAt.IsZero() && now.Sub(known.failedAt) < relayFailureLife {
		return 1
	}
	return 0
}
