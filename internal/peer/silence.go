package peer

import "time"

// SilenceDetector measures how long a peer has sent nothing on a connection while a request is
// unanswered, counted from the oldest request since the last message. It does not read the clock.
// Its zero value has no outstanding request.
type SilenceDetector struct{ since time.Time }

// RequestSent records that a request was sent.
func (s *SilenceDetector) RequestSent(now time.Time) {
	if s.since.IsZero() {
		s.since = now
	}
}

// Reset records that a message was received or that the connection was replaced.
func (s *SilenceDetector) Reset() { s.since = time.Time{} }

// Exceeds reports whether the peer has been silent for longer than the limit.
func (s *SilenceDetector) Exceeds(limit time.Duration, now time.Time) bool {
	return !s.since.IsZero() && now.Sub(s.since) > limit
}

// TimedOut reports whether the peer has been silent for AnswerTimeout, so that the connection must
// be replaced. An open connection can stop delivering messages permanently without a reset.
func (s *SilenceDetector) TimedOut(now time.Time) bool {
	return !s.since.IsZero() && now.Sub(s.since) >= AnswerTimeout
}
