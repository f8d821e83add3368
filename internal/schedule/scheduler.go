package schedule

import (
	"math/rand/v2"
	"slices"
	"time"

	"swiftbank.dev/swiftbank/internal/overload"
	"swiftbank.dev/swiftbank/internal/shard"
	"swiftbank.dev/swiftbank/internal/verdict"
)

const (
	// failurePenalty is how long a back end is passed over after a failed call.
	failurePenalty = 2 * time.Second
	// maxQueued bounds the calls that wait on one node.
	maxQueued = 4096
	// overloadRetry is when a caller may come back after the queue was full.
	overloadRetry = 2 * time.Second
	// freshness is how old a back end's own report may be for new calls. A node
	// that was paused wakes with old reports and waits for new ones; a back end
	// that cannot be asked cannot be called either.
	freshness = 2500 * time.Millisecond
	// noBackEndRetry is when a caller may come back when no instance is there.
	noBackEndRetry = 2 * time.Second
)

// backEndState is what this node knows of one back end.
type backEndState struct {
	BackEnd
	report LoadReport
	// dispatched holds this node's calls in flight.
	dispatched  map[shard.CallID]dispatch
	failedUntil time.Time
	// askedAt is when the back end was last asked for its load.
	askedAt time.Time
	// held is what this node knows of the engine's cache, by session.
	held map[shard.SessionKey]heldPrefix
}

// dispatch is one call of this node in flight.
type dispatch struct {
	at time.Time
	// uncached is the part of the prompt that the engine must compute.
	uncached int64
	// pool is where the call came from.
	pool poolKey
}

// heldPrefix is what an engine was seen to have computed for a session.
type heldPrefix struct {
	tokens int64
	at     time.Time
}

// Scheduler holds the waiting calls and the back ends of one node.
type Scheduler struct {
	node   string
	zone   string
	policy Policy
	random *rand.Rand
	// turn counts the calls placed in turn.
	turn     int
	backEnds map[string]*backEndState
	// names is the sorted list of back ends, so that decisions do not depend on map order.
	names []string
	// pools are the back ends that this node uses, by what they can serve.
	pools map[poolKey][]*backEndState
	queue []Work
	// demandAt is when a call for a pool last came.
	demandAt map[poolKey]time.Time
	// finishes are the paces at which calls leave each pool.
	finishes map[poolKey]*finishRate
}

// New returns a scheduler for a node and its zone.
func New(node, zone string, policy Policy, random *rand.Rand) *Scheduler {
	return &Scheduler{node: node, zone: zone, policy: policy, random: random, backEnds: map[string]*backEndState{}, finishes: map[poolKey]*finishRate{}, demandAt: map[poolKey]time.Time{}}
}

// SetBackEnds replaces the list of back ends; what is known of those that stay is kept.
func (s *Scheduler) SetBackEnds(list []BackEnd) {
	kept := map[string]*backEndState{}
	s.names = s.names[:0]
	for _, backEnd := range list {
		state := s.backEnds[backEnd.Name]
		if state == nil {
			state = &backEndState{dispatched: map[shard.CallID]dispatch{}, held: map[shard.SessionKey]heldPrefix{}}
		}
		state.BackEnd = backEnd
		kept[backEnd.Name] = state
		s.names = append(s.names, backEnd.Name)
	}
	for name, state := range s.backEnds {
		if kept[name] == nil && len(state.dispatched) > 0 {
			state.Leaving = true
			kept[name] = state
			s.names = append(s.names, name)
		}
	}
	slices.Sort(s.names)
	s.backEnds = kept
	s.rebuildPools()
}

// BackEnd returns a back end by name.
func (s *Scheduler) BackEnd(name string) (BackEnd, bool) {
	state := s.backEnds[name]
	if state == nil {
		return BackEnd{}, false
	}
	return state.BackEnd, true
}

// BackEnds returns all known back ends by name.
func (s *Scheduler) BackEnds() []BackEnd {
	list := make([]BackEnd, 0, len(s.names))
	for _, name := range s.names {
		list = append(list, s.backEnds[name].BackEnd)
	}
	return list
}

// QueueLength returns the number of waiting calls.
func (s *Scheduler) QueueLength() int { return len(s.queue) }

// Enqueue admits a call to the queue or refuses it at once.
func (s *Scheduler) Enqueue(now time.Time, work Work) *verdict.Error {
	if len(s.queue) >= maxQueued {
		return verdict.Refuse(verdict.CodeOverloaded, overloadRetry, "too many calls wait on this node")
	}
	if !s.servable(&work) {
		return verdict.Refuse(verdict.CodeNoBackEnd, noBackEndRetry, "no instance of %s can serve the call now", work.Service)
	}
	s.demandAt[keyOf(&work)] = now
	if refusal := s.refuseLate(now, &work); refusal != nil {
		return refusal
	}
	s.queue = append(s.queue, work)
	return nil
}

// Queued reports whether a call waits.
func (s *Scheduler) Queued(call shard.CallID) bool {
	return slices.ContainsFunc(s.queue, func(work Work) bool { return work.Call == call })
}

// Withdraw removes a waiting call.
func (s *Scheduler) Withdraw(call shard.CallID) {
	s.queue = slices.DeleteFunc(s.queue, func(work Work) bool { return work.Call == call })
}

// Expired removes and returns the waiting calls that have no time left to be sent. With less than
// that a back end's refusal comes after the deadline, and nobody knows that the call has not run.
func (s *Scheduler) Expired(now time.Time) []Work {
	var expired []Work
	s.queue = slices.DeleteFunc(s.queue, func(work Work) bool {
		left := work.Deadline.Sub(now)
		late := !work.Deadline.IsZero() && left <= overload.MinSendTime(work.Deadline.Sub(work.EnqueuedAt))
		if late {
			expired = append(expired, work)
		}
		return late
	})
	return expired
}

// Assign takes calls that can run now off the queue, in the order of waiting.
func (s *Scheduler) Assign(now time.Time) []Assignment {
	if len(s.queue) == 0 {
		return nil
	}
	slices.SortStableFunc(s.queue, func(a, b Work) int { return s.compareWork(now, &a, &b) })
	var assignments []Assignment
	waiting := s.queue[:0]
	for _, work := range s.queue {
		assignment, found := s.place(now, work)
		if !found {
			waiting = append(waiting, work)
			continue
		}
		assignments = append(assignments, assignment)
	}
	s.queue = waiting
	return assignments
}

// place gives a call to a back end that can take it now.
func (s *Scheduler) place(now time.Time, work Work) (Assignment, bool) {
	chosen := s.choose(now, &work)
	if chosen.backEnd == nil {
		return Assignment{}, false
	}
	chosen.backEnd.dispatched[work.Call] = dispatch{
		at: now, uncached: work.PromptTokens - chosen.backEnd.cachedTokens(now, &work), pool: keyOf(&work),
	}
	return Assignment{
		Work: work, BackEnd: chosen.backEnd.Name, EnginePriority: s.enginePriority(&work), Explanation: chosen.why,
	}, true
}

// load predicts the calls on a back end: its last report, corrected by this
// node's own dispatches since.
func (b *backEndState) load() int {
	since := 0
	for _, sent := range b.dispatched {
		if sent.at.After(b.report.MeasuredAt) {
			since++
		}
	}
	return max(b.report.Running+b.report.Waiting+since, len(b.dispatched))
}

// NoteDispatch records a call that this node runs on a back end without having
// placed it, as after a takeover.
func (s *Scheduler) NoteDispatch(now time.Time, backEnd string, call shard.CallID) {
	if state := s.backEnds[backEnd]; state != nil {
		if _, known := state.dispatched[call]; !known {
			state.dispatched[call] = dispatch{at: now}
		}
	}
}

// Finished records the end of a call on a back end.
func (s *Scheduler) Finished(now time.Time, backEnd string, call shard.CallID, failed bool) {
	state := s.backEnds[backEnd]
	if state == nil {
		return
	}
	if sent, known := state.dispatched[call]; known {
		s.noteFinish(now, sent.pool)
	}
	delete(state.dispatched, call)
	if failed {
		state.failedUntil = now.Add(failurePenalty)
	} else {
		state.failedUntil = time.Time{}
	}
}

// Served applies what an engine counted for a finished call: it now holds the
// session's prompt and answer.
func (s *Scheduler) Served(now time.Time, backEnd string, session shard.SessionKey, tokens int64) {
	if state := s.backEnds[backEnd]; state != nil {
		state.held[session] = heldPrefix{tokens: tokens, at: now}
	}
}

// Forget drops what is known of a session's cache.
func (s *Scheduler) Forget(backEnd string, session shard.SessionKey) {
	if state := s.backEnds[backEnd]; state != nil {
		delete(state.held, session)
	}
}

// Report applies a back end's own load report.
func (s *Scheduler) Report(report LoadReport) {
	if state := s.backEnds[report.BackEnd]; state != nil && report.MeasuredAt.After(state.report.MeasuredAt) {
		state.report = report
	}
}
