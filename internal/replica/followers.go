package replica

import (
	"maps"
	"time"

	"swiftbank.dev/swiftbank/internal/ledger"
)

// Gateways follow the recorded runs of requests at the voters of one cell: a run that one gateway records is sent to all
// others over the connections that they have. So what is known of a run outlives its gateway, and reaches the others
// although these do not hear each other.
//
// A gateway that ends without leaving may have sent requests of whose runs nobody knows. The others are told.

const (
	// notifyInterval is the least time between two messages to a follower, unless nothing was sent for longer: while many
	// runs are recorded, one message tells of several.
	notifyInterval = 40 * time.Millisecond
	// lostFollowerTTL is how long the others are told that a follower was lost.
	lostFollowerTTL = 15 * time.Second
	// maxCheckPause is the time between two checks from which on this process was suspended: it has not read what the
	// followers sent meanwhile.
	maxCheckPause = time.Second
	// maxLostFollowers bounds the lost followers that are remembered.
	maxLostFollowers = 1024
)

// replySender is the connection of a gateway.
type replySender interface {
	// Send queues a reply, and reports whether there was space for it.
	Send(reply ledger.Reply) bool
}

// follower is a gateway that is sent the changes.
type follower struct {
	// request is its last request, with the position after the changes that were sent.
	request ledger.Request
	// renewedAt is when it sent the request, until when its subscription ends.
	renewedAt, until time.Time
}

// followers are the gateways that follow the recorded runs. Only the loop uses them.
type followers struct {
	present map[replySender]*follower
	// lost holds when the followers that ended without leaving sent their last requests, by the identity of the process.
	lost map[string]time.Time
	// notifiedAt is when changes were last sent, notified the position up to which.
	notifiedAt time.Time
	notified   ledger.QuarantinePosition
	// checkedAt is when the subscriptions were last checked.
	checkedAt time.Time
	// lostChanged is set if the followers are to be told that one was lost.
	lostChanged bool
}

func newFollowers() *followers {
	return &followers{present: map[replySender]*follower{}, lost: map[string]time.Time{}}
}

// follow answers a request for the recorded runs, and sends further replies to a gateway that follows them.
func (s *Server) follow(now time.Time, from replySender, request ledger.Request) {
	query := *request.ReadQuarantine
	if query.Leave {
		delete(s.followers.present, from)
		return
	}
	if query.Follow > 0 {
		delete(s.followers.lost, query.Follower)
		s.followers.present[from] = &follower{request: request, renewedAt: now, until: now.Add(query.Follow)}
	}
	s.sendChanges(now, from, request)
}

// sendChanges sends the changes after the position of a request.
func (s *Server) sendChanges(now time.Time, to replySender, request ledger.Request) {
	reply := s.state.Step(now, request).Immediate[0]
	answer := reply.Quarantine
	answer.FollowerLostFor, answer.FollowerLost = s.followers.lastLost(now)
	if !to.Send(reply) {
		return
	}
	if known := s.followers.present[to]; known != nil {
		query := *known.request.ReadQuarantine
		query.After = answer.Next
		known.request.ReadQuarantine = &query
	}
}

// lastLost returns how long ago the follower that was lost last sent its last request.
func (f *followers) lastLost(now time.Time) (ago time.Duration, lost bool) {
	for _, at := range f.lost {
		if since := now.Sub(at); !lost || since < ago {
			ago, lost = since, true
		}
	}
	return ago, lost
}

// notifyFollowers sends the changes to all followers, if there are any and none were sent lately.
func (s *Server) notifyFollowers(now time.Time) {
	position := s.state.QuarantinePosition()
	f := s.followers
	if position == f.notified && !f.lostChanged || now.Sub(f.notifiedAt) < notifyInterval {
		return
	}
	f.notified, f.notifiedAt = position, now
	for to, known := range f.present {
		if f.lostChanged || known.request.ReadQuarantine.After != position {
			s.sendChanges(now, to, known.request)
		}
	}
	f.lostChanged = false
}

// checkFollowers ends the subscriptions that were not renewed, and sends what is due.
func (s *Server) checkFollowers(now time.Time) {
	wasSuspended := now.Sub(s.followers.checkedAt) > maxCheckPause
	s.followers.checkedAt = now
	for to, known := range s.followers.present {
		switch {
		case wasSuspended:
			known.until = now.Add(known.request.ReadQuarantine.Follow)
		case now.After(known.until):
			s.loseFollower(now, to, known)
		}
	}
	maps.DeleteFunc(s.followers.lost, func(_ string, at time.Time) bool { return now.Sub(at) > lostFollowerTTL })
	s.notifyFollowers(now)
}

// followerDisconnected ends the subscription on a connection that has ended.
func (s *Server) followerDisconnected(from replySender) {
	if known := s.followers.present[from]; known != nil {
		now := time.Now()
		s.loseFollower(now, from, known)
		s.notifyFollowers(now)
	}
}

// loseFollower records that a follower has ended, or is cut off.
func (s *Server) loseFollower(now time.Time, from replySender, known *follower) {
	delete(s.followers.present, from)
	name := known.request.ReadQuarantine.Follower
	for _, other := range s.followers.present {
		if other.request.ReadQuarantine.Follower == name {
			return // it has another connection
		}
	}
	if len(s.followers.lost) < maxLostFollowers {
		s.followers.lost[name] = known.renewedAt
	}
	s.followers.lostChanged = true
	s.log.Warn().Str("event", "follower_lost").Str("follower", name).Int64("renewed_ms_ago", now.Sub(known.renewedAt).Milliseconds()).
		Int("followers", len(s.followers.present)).Msg("")
}
