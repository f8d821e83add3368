package overload_test

import (
	"time"

	"swiftbank.dev/swiftbank/internal/admission"
	"swiftbank.dev/swiftbank/internal/overload"
)

// decided is the decision under test.
type decided struct {
	queue *overload.Queue
	// equal gives all requests one rank.
	equal bool
	// programs admits new programs by what those under way will need; nil to leave that out.
	programs *admission.Controller
}

func newDecided() waitPolicy { return &decided{queue: overload.NewQueue()} }
func newAdmitting() waitPolicy {
	return &decided{queue: overload.NewQueue(), programs: admission.NewController()}
}
func newEqual() waitPolicy { return &decided{queue: overload.NewQueue(), equal: true} }

func (p *decided) refused(now, _ time.Time, request overload.Request, capacity overload.Capacity) (pause, retryAfter time.Duration) {
	if p.equal {
		request.FirstOfProgram, request.RouteRank, request.TenantRank = false, 0, 0
	}
	decision := p.queue.Decide(now, request, capacity)
	if decision.Verdict == overload.Reject {
		return 0, decision.RetryAfter
	}
	return decision.Pause, 0
}
func (p *decided) taken(now time.Time, id string) { p.queue.Accepted(now, id) }
func (p *decided) left(id string)                 { p.queue.Remove(id) }

// halfDeadline asks every 25 ms for half of the deadline and names one pause to all callers.
type halfDeadline struct{}

func newHalfDeadline() waitPolicy { return halfDeadline{} }

func (halfDeadline) refused(now, arrived time.Time, request overload.Request, _ overload.Capacity) (pause, retryAfter time.Duration) {
	if now.After(arrived.Add(request.Deadline.Sub(arrived) / 2)) {
		return 0, 150 * time.Millisecond
	}
	return 25 * time.Millisecond, 0
}
func (halfDeadline) taken(time.Time, string) {}
func (halfDeadline) left(string)             {}

// firstCome lets only the first of a gateway's requests ask, for half of the deadline.
type firstCome struct {
	halfDeadline
	line []string
}

func newFirstCome() waitPolicy { return &firstCome{} }

func (p *firstCome) refused(now, arrived time.Time, request overload.Request, capacity overload.Capacity) (pause, retryAfter time.Duration) {
	pause, retryAfter = p.halfDeadline.refused(now, arrived, request, capacity)
	if pause == 0 {
		p.left(request.ID)
		return pause, retryAfter
	}
	for position, id := range p.line {
		if id == request.ID {
			return pause * time.Duration(1+position), 0
		}
	}
	p.line = append(p.line, request.ID)
	return pause * time.Duration(len(p.line)), 0
}
func (p *firstCome) taken(_ time.Time, id string) { p.left(id) }
func (p *firstCome) left(gone string) {
	for position, id := range p.line {
		if id == gone {
			p.line = append(p.line[:position], p.line[position+1:]...)
			return
		}
	}
}
