package replica

import (
	"swiftbank.dev/swiftbank/internal/ledger"
	"swiftbank.dev/swiftbank/internal/peer"
)

// Each queue may use the machine's memory divided by its divisor. The rest is for turns and
// charges, the runtime and garbage. Without these bounds, a saturated link or a failing disk would
// make all replicas grow at the same time until the kernel kills them.
const (
	inboxDivisor    = 16
	outgoingDivisor = 16
	diskDivisor     = 16
	// minMemoryMB is used if the memory is not configured or is smaller.
	minMemoryMB = 64
)

// limits bound the queues of a replica, in bytes.
type limits struct {
	// inbox bounds the messages that were received but not handled yet. While it is used up,
	// connections are not read.
	inbox *peer.Budget
	// outgoing bounds the replies that were not sent yet. Replies that exceed it are dropped;
	// gateways get theirs from other replicas.
	outgoing *peer.Budget
	// disk bounds the records that wait for the disk. A request that exceeds it is not answered;
	// gateways get their replies from other replicas.
	disk int
	// refusing is set while the disk limit is used up.
	refusing bool
}

func newLimits(memoryMB int) limits {
	bytes := max(memoryMB, minMemoryMB) << 20
	return limits{
		inbox: peer.NewBudget(bytes / inboxDivisor), outgoing: peer.NewBudget(bytes / outgoingDivisor), disk: bytes / diskDivisor,
	}
}

// postMessage passes a received message to the loop. It blocks until the inbox has room for it.
func (s *Server) postMessage(bytes int, work func()) {
	if !s.limits.inbox.Acquire(bytes) {
		return
	}
	s.post(func() {
		work()
		s.limits.inbox.Release(bytes)
	})
}

// overloaded reports whether a request must be dropped because too many bytes wait for the disk.
// To the sender, the message is lost.
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
