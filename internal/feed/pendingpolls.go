package feed

import "time"

const (
	// pollInterval is how long a poll waits for changes before it is answered with the
	// status alone. Four replies a second allow a failed upstream to be detected within
	// replyTimeout, at about 400 bytes a second.
	pollInterval = 250 * time.Millisecond
)

// Request is a poll that a process sends to its upstream.
type Request struct {
	// Node is the name of the polling process, for the log.
	Node string
	// Positions are the positions of its cache.
	Positions Positions
	// LacksVersions is set if the cache does not contain the software versions of all instances: it
	// needs a snapshot although its position is current.
	LacksVersions bool
}

// Reply answers a poll.
type Reply struct {
	// Batches hold the changes that the polling process lacks.
	Batches []Batch
	// Positions are the positions of the upstream, which show whether it knows all kinds.
	Positions Positions
	Status    Status
}

// PendingPolls holds the polls that wait for changes. Each follower has at most one, so a slow
// follower costs no memory: the changes that it lacks are determined when it polls. It is not
// safe for concurrent use.
type PendingPolls[Follower comparable] struct {
	waiting map[Follower]pendingPoll
}

// pendingPoll is a poll that waits for changes until its deadline.
type pendingPoll struct {
	request  Request
	deadline time.Time
}

// NewPendingPolls returns an empty set of polls.
func NewPendingPolls[Follower comparable]() *PendingPolls[Follower] {
	return &PendingPolls[Follower]{waiting: map[Follower]pendingPoll{}}
}

// Add handles a poll. It returns the batches that the follower lacks. Without any, answered is
// false and the poll waits.
func (p *PendingPolls[Follower]) Add(now time.Time, follower Follower, request Request, cache *Cache) (batches []Batch, answered bool) {
	batches = cache.Answer(request)
	if len(batches) > 0 {
		delete(p.waiting, follower)
		return batches, true
	}
	p.waiting[follower] = pendingPoll{request: request, deadline: now.Add(pollInterval)}
	return nil, false
}

// TakeAll removes all pending polls and returns the batches to answer each of them with.
func (p *PendingPolls[Follower]) TakeAll(cache *Cache) map[Follower][]Batch {
	answers := map[Follower][]Batch{}
	for follower, poll := range p.waiting {
		answers[follower] = cache.Answer(poll.request)
	}
	clear(p.waiting)
	return answers
}

// TakeExpired removes and returns the polls whose deadline has passed.
func (p *PendingPolls[Follower]) TakeExpired(now time.Time) []Follower {
	var expired []Follower
	for follower, poll := range p.waiting {
		if !now.Before(poll.deadline) {
			expired = append(expired, follower)
			delete(p.waiting, follower)
		}
	}
	return expired
}
