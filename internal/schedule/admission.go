package schedule

import (
	"time"

	"swiftbank.dev/swiftbank/internal/verdict"
)

const (
	// finishWeight is the weight of the newest interval in the mean.
	finishWeight = 0.1
	// leastRetryAfter is the shortest time that a refused caller is told to wait.
	leastRetryAfter = 200 * time.Millisecond
)

// finishRate is the mean time between two finished calls of one service here: the
// pace at which calls leave the queue while all instances are busy.
type finishRate struct {
	last     time.Time
	interval time.Duration
}

func (r *finishRate) note(now time.Time) {
	if !r.last.IsZero() {
		newest := float64(now.Sub(r.last))
		r.interval = time.Duration((1-finishWeight)*float64(r.interval) + finishWeight*newest)
	}
	r.last = now
}

// refuseLate refuses a call at once when its first token, or a call to another
// kind of back end its start, is predicted after the caller's deadline: waiting
// would only waste the work (Mooncake, Qin et al., 2025, refuses early likewise).
func (s *Scheduler) refuseLate(now time.Time, work *Work) *verdict.Error {
	if work.Deadline.IsZero() {
		return nil
	}
	wait := s.predictWait(now, work)
	if !now.Add(wait + s.predictPrefill(now, work)).After(work.Deadline) {
		return nil
	}
	return verdict.Refuse(verdict.CodeDeadline, max(wait, leastRetryAfter), "the answer would begin after the deadline")
}

// predictWait is how long the call will wait for an instance.
func (s *Scheduler) predictWait(now time.Time, work *Work) time.Duration {
	ahead := 0
	for i := range s.queue {
		if keyOf(&s.queue[i]) == keyOf(work) && s.compareWork(now, &s.queue[i], work) <= 0 {
			ahead++
		}
	}
	if ahead == 0 && len(s.candidates(now, work)) > 0 {
		return 0
	}
	rate := s.finishes[keyOf(work)]
	if rate == nil {
		return 0
	}
	return time.Duration(ahead+1) * rate.interval
}

// predictPrefill is the time to compute what no engine holds of the prompt.
func (s *Scheduler) predictPrefill(now time.Time, work *Work) time.Duration {
	held := int64(0)
	for _, name := range work.CachedOn {
		if state := s.backEnds[name]; state != nil {
			held = max(held, state.cachedTokens(now, work))
		}
	}
	return time.Duration(float64(work.PromptTokens-held) * prefillSecondsPerToken * float64(time.Second))
}

// noteFinish records that a call left its back end.
func (s *Scheduler) noteFinish(now time.Time, key poolKey) {
	if s.finishes[key] == nil {
		s.finishes[key] = &finishRate{}
	}
	s.finishes[key].note(now)
}
