package replica

import (
	"swiftbank.dev/swiftbank/internal/ledger"
	"swiftbank.dev/swiftbank/internal/peer"
)

// Parts of the machine's memory that may be held, one in so many, by what waits here. Turns and
// charges, the runtime and its garbage need the rest. Without these bounds a way that is full, or
// a disk that fails, lets a replica grow until its machine ends it, and all at the same time.
const (
	inboxPart    = 16
	outgoingPart = 16
	diskPart     = 16
	// leastMemoryMB is assumed where the memory is not told.
	leastMemoryMB = 64
)

// limits bound what waits in a replica, in bytes.
type limits struct {
	// inbox is what was received and not handled. Who sends more waits: his connection is not read.
	inbox *peer.Budget
	// outgoing are answers that were not sent. What has no room is not sent; callers ask others.
	outgoing *peer.Budget
	// disk is what waits for the disk. What has no room is not answered; others have disks.
	disk int
	// refusing is set while the disk's room is used up.
	refusing bool
}

func newLimits(memoryMB int) limits {
	bytes := max(memoryMB, leastMemoryMB) << 20
	return limits{
		inbox: peer.NewBudget(bytes / inboxPart), outgoing: peer.NewBudget(bytes / outgoingPart), disk: bytes / diskPart,
	}
}

// postMessage hands a received message over to the loop, once there is room for it.
func (s *Server) postMessage(bytes int, work func()) {
	if !s.limits.inbox.Await(bytes) {
		return
	}
	s.post(func() {
		work()
		s.limits.inbox.Give(bytes)
	})
}

// overloaded reports whether a request is left unanswered because too much waits for the disk
// already. It is as if the message were lost.
func (s *Server) overloaded(request ledger.Request) bool {
	if request.Commit == nil && request.Reserve == nil {
		return false
	}
	waiting := s.syncer.waitingBytes()
	refusing := waiting+request.Bytes() > s.limits.disk && waiting > 0
	if refusing != s.limits.refusing {
		s.limits.refusing = refusing
		s.log.Warn().Str("event", "disk_behind").Bool("refusing", refusing).Int("waiting_bytes", waiting).
			Int("limit_bytes", s.limits.disk).Msg("")
	}
	return refusing
}
