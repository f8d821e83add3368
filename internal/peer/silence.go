package peer

import "time"

// Silence is how long nothing has been answered on a connection: the time since the oldest
// request was sent that nothing has followed. It is a pure value; its zero value awaits nothing.
type Silence struct{ since time.Time }

// Await notes that a request was sent.
func (s *Silence) Await(now time.Time) {
	if s.since.IsZero() {
		s.since = now
	}
}

// End notes that something came, or that the connection was replaced.
func (s *Silence) End() { s.since = time.Time{} }

// LastsLongerThan reports whether an answer has been awaited for more than that time.
func (s *Silence) LastsLongerThan(limit time.Duration, now time.Time) bool {
	return !s.since.IsZero() && now.Sub(s.since) > limit
}

// IsDead reports whether the connection must be replaced: open connections may go silent for
// good without a reset.
func (s *Silence) IsDead(now time.Time) bool {
	return !s.since.IsZero() && now.Sub(s.since) >= AnswerTimeout
}
