package overload_test

import (
	"time"

	"swiftbank.dev/swiftbank/internal/admission"
	"swiftbank.dev/swiftbank/internal/overload"
)

// queuePolicy is the policy under test.
type queuePolicy struct {
	queue *overload.Queue
	// ignoreRanks gives all requests the same rank.
	ignoreRanks bool
	// programs controls the admission of new programs; nil for no admission control.
	programs *admission.Controller
}

func newQueuePolicy() waitPolicy { return &queuePolicy{queue: overload.NewQueue()} }
func newAdmissionPolicy() waitPolicy {
	return &queuePolicy{queue: overload.NewQueue(), programs: admission.NewController()}
}
func newRanklessPolicy() waitPolicy {
	return &queuePolicy{queue: overload.NewQueue(), ignoreRanks: true}
}

func (p *queuePolicy) decide(now, _ time.Time, request overload.Request, capacity overload.Capacity) (pause, retryAfter time.Duration) {
	if p.ignoreRanks {
		request.FirstOfProgram, request.RouteRank, request.TenantRank = false, 0, 0
	}
	decision := p.queue.Decide(now, request, capacity)
	if decision.Verdict == overload.Reject {
		return 0, decision.RetryAfter
	}
	return decision.Pause, 0
}
func (p *queuePolicy) accepted(now time.Time, id string) { p.queue.Accepted(now, id) }
func (p *queuePolicy) removed(id string)                 { p.queue.Remove(id) }

// halfDeadline polls every 25 ms for half of the deadline and returns the same Retry-After to all
// callers.
type halfDeadline struct{}

func newHalfDeadline() waitPolicy { return halfDeadline{} }

func (halfDeadline) decide(now, arrived time.Time, request overload.Request, _ overload.Capacity) (pause, retryAfter time.Duration) {
	if now.After(arrived.Add(request.Deadline.Sub(arrived) / 2)) {
		return 0, 150 * time.Millisecond
	}
	return 25 * time.Millisecond, 0
}
func (halfDeadline) accepted(time.Time, string) {}
func (halfDeadline) removed(string)             {}

// fifoPolicy lets only the first request of a gateway poll, for half of the deadline.
type fifoPolicy struct {
	halfDeadline
	fifo []string
}

func newFIFO() waitPolicy { return &fifoPolicy{} }

func (p *fifoPolicy) decide(now, arrived time.Time, request overload.Request, capacity overload.Capacity) (pause, retryAfter time.Duration) {
	pause, retryAfter = p.halfDeadline.decide(now, arrived, request, capacity)
	if pause == 0 {
		p.removed(request.ID)
		return pause, retryAfter
	}
	for position, id := range p.fifo {
		if id == request.ID {
			return pause * time.Duration(1+position), 0
		}
	}
	p.fifo = append(p.fifo, request.ID)
	return pause * time.Duration(len(p.fifo)), 0
}
func (p *fifoPolicy) accepted(_ time.Time, id string) { p.removed(id) }
func (p *fifoPolicy) removed(removed string) {
	for position, id := range p.fifo {
		if id == removed {
			p.fifo = append(p.fifo[:position], p.fifo[position+1:]...)
			return
		}
	}
}
