package overload_test

import (
	"time"

	"swiftbank.dev/swiftbank/internal/backend"
)

type instanceModel struct {
	id      string
	state   string
	share   float64
	running int
	queue   []*sentRequest
	sends   int
}

type sentRequest struct {
	work     time.Duration
	deadline time.Time
	done     func(result backend.Outcome, ran bool)
}

// send sends the request to an instance.
func (r *simulation) send(c *call, choice backend.Choice, done func(backend.Outcome, bool)) {
	r.outcomeOf(c.kind).Sends++
	var instance *instanceModel
	for _, candidate := range r.instances {
		if candidate.id == choice.Instance.ID {
			instance = candidate
		}
	}
	instance.sends++
	sent := &sentRequest{work: c.work, deadline: c.deadline, done: func(result backend.Outcome, ran bool) {
		r.schedule(networkDelay, func() { done(result, ran) })
	}}
	switch {
	case instance.state == "down":
		r.outcomeOf(c.kind).FailedSends++
		sent.done(backend.Unreachable, false)
	case instance.state == "failing":
		r.outcomeOf(c.kind).FailedSends++
		sent.done(backend.Failed, true)
	case instance.running < r.load.Slots:
		r.start(instance, sent)
	case len(instance.queue) < r.load.Queue:
		instance.queue = append(instance.queue, sent)
	default:
		sent.done(backend.Full, false)
	}
}

func (r *simulation) start(instance *instanceModel, sent *sentRequest) {
	busy := float64(instance.running) / float64(r.load.Slots)
	instance.running++
	r.schedule(time.Duration(float64(sent.work)*(1+r.load.Contention*busy)), func() {
		instance.running--
		switch {
		case instance.state == "down":
			sent.done(backend.Unreachable, true)
		case instance.state == "losing" && r.random.Float64() < instance.share:
			sent.done(backend.Failed, true)
		default:
			sent.done(backend.Answered, true)
		}
		for len(instance.queue) > 0 && instance.running < r.load.Slots {
			next := instance.queue[0]
			instance.queue = instance.queue[1:]
			if !r.now.Before(next.deadline) {
				next.done(backend.Full, false)
				continue
			}
			r.start(instance, next)
		}
	})
}
