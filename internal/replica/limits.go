package replica

import (
	"swiftbank.dev/swiftbank/internal/ledger"
	"swiftbank.dev/swiftbank/internal/peer"
)

// Each queue may hold the machine's memory divided by its divisor. Turns and charges, the runtime
// and its garbage need the rest. Without these bounds a full link or a failing disk would make
// replicas grow until the kernel kills them, all at the same time.
const (
	inboxDivisor    = 16
	outgoingDivisor = 16
	diskDivisor     = 16
	// leastMemoryMB is assumed where the memory is not configured, or less is.
	leastMemoryMB = 64
)

// limits bound what waits in a replica, in bytes.
type limits struct {
	// inbox is what was received and not handled. When it is full, connections are not read.
	inbox *peer.Budget
	// outgoing is answers that were not sent. What has no room is dropped; callers ask other
	// replicas.
	outgoing *peer.Budget
	// disk bounds what waits for the disk. A request that has no room is not answered; callers
	// ask other replicas.
	disk int
	// refusing is set while the disk's room is used up.
	refusing bool
}

func newLimits(memoryMB int) limits {
	bytes := max(memoryMB, leastMemoryMB) << 20
	return limits{
		inbox: peer.NewBudget(bytes / inboxDivisor), outgoing: peer.NewBudget(bytes / outgoingDivisor), disk: bytes / diskDivisor,
	}
}

// postMessage hands a received message over to the loop, once there is room for it.
func (s *Server) postMessage(bytes int, work func()) {
	if !s.limits.inbox.Acquire(bytes) {
		return
	}
	s.post(func() {
		work()
		s.limits.inbox.Release(bytes)
	})
}

// overloaded reports whether a request is left unanswered because too much waits for the disk.
// To its sender it is as if the message were lost.
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
