package feed

import "time"

const (
	// pollInterval is how long a poll waits for news before it is answered with the
	// status alone. Four answers a second let an upstream that is gone be noticed within
	// answerTimeout, at about 400 bytes a second.
	pollInterval = 250 * time.Millisecond
)

// Request is a poll of a process that follows an upstream.
type Request struct {
	// Node is the name of the process that asks, for the log.
	Node string
	// Positions say what it knows.
	Positions Positions
}

// Reply answers a poll.
type Reply struct {
	// Batches hold what the asking process lacked.
	Batches []Batch
	// Positions are the upstream's own, by which one that is behind is recognised.
	Positions Positions
	Status    Status
}

// Poller holds the polls that wait for news. Each process that follows this one has at
// most one, so a slow one costs no memory: what it lacks is worked out when it asks.
type Poller[Asker comparable] struct {
	waiting map[Asker]waitingPoll
}

// waitingPoll is a poll without news so far.
type waitingPoll struct {
	positions Positions
	until     time.Time
}

// NewPoller returns one without polls.
func NewPoller[Asker comparable]() *Poller[Asker] {
	return &Poller[Asker]{waiting: map[Asker]waitingPoll{}}
}

// Ask takes a poll. It returns what the asker lacks, or nothing: then the poll waits.
func (p *Poller[Asker]) Ask(now time.Time, asker Asker, request Request, cache *Cache) (batches []Batch, answered bool) {
	batches = cache.Since(request.Positions)
	if len(batches) > 0 {
		delete(p.waiting, asker)
		return batches, true
	}
	p.waiting[asker] = waitingPoll{positions: request.Positions, until: now.Add(pollInterval)}
	return nil, false
}

// Changed returns the answers to all polls that wait, after the cache or the status has
// changed.
func (p *Poller[Asker]) Changed(cache *Cache) map[Asker][]Batch {
	answers := map[Asker][]Batch{}
	for asker, poll := range p.waiting {
		answers[asker] = cache.Since(poll.positions)
	}
	clear(p.waiting)
	return answers
}

// Due returns the polls that have waited long enough.
func (p *Poller[Asker]) Due(now time.Time) []Asker {
	var due []Asker
	for asker, poll := range p.waiting {
		if !now.Before(poll.until) {
			due = append(due, asker)
			delete(p.waiting, asker)
		}
	}
	return due
}
