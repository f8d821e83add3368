package peer

import "time"

// SilenceDetector is how long nothing has been answered on a connection: the time since the oldest
// request was sent that nothing has followed. It is a pure value; its zero value awaits nothing.
type SilenceDetector struct{ since time.Time }

// RequestSent notes that a request was sent.
func (s *SilenceDetector) RequestSent(now time.Time) {
	if s.since.IsZero() {
		s.since = now
	}
}

// Reset notes that something came, or that the connection was replaced.
func (s *SilenceDetector) Reset() { s.since = time.Time{} }

// Exceeds reports whether an answer has been awaited for more than that time.
func (s *SilenceDetector) Exceeds(limit time.Duration, now time.Time) bool {
	return !s.since.IsZero() && now.Sub(s.since) > limit
}

// TimedOut reports whether the connection must be replaced: open connections may go silent for
// good without a reset.
func (s *SilenceDetector) TimedOut(now time.Time) bool {
	return !s.since.IsZero() && now.Sub(s.since) >= AnswerTimeout
}
