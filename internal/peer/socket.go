// Package peer connects the processes of a fleet with gob-encoded messages over persistent TCP
// connections. It closes a connection within about two seconds after the network path is lost.
package peer

import (
	"context"
	"net"
	"syscall"
	"time"
)

const (
	// tcpUserTimeout is the socket option TCP_USER_TIMEOUT of linux/tcp.h.
	tcpUserTimeout = 18
	// unacknowledgedLimit is how long sent bytes may stay unacknowledged before the kernel closes
	// the connection.
	unacknowledgedLimit = 1500 * time.Millisecond
	// dialTimeout bounds an attempt to connect. If a peer is down when the SYN arrives, the kernel
	// retransmits it only a second later; a new attempt reaches the peer sooner.
	dialTimeout = 300 * time.Millisecond
	// AnswerTimeout is how long a peer may send nothing on a connection while a request is
	// unanswered, before the connection is replaced. A connection can stop delivering messages
	// permanently while new ones work and the kernel detects no loss. The timeout is longer than
	// answers take on a saturated link.
	AnswerTimeout = 2 * time.Second
)

// probes are the keep-alive probes that detect an unreachable peer on an idle connection.
var probes = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 3}

// Dialer returns a dialer whose connections close soon after the network path is lost.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: probes, Control: limitUnacknowledged}
}

// Listen opens a TCP listener whose connections close soon after the network path is lost.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: probes, Control: limitUnacknowledged}
	return config.Listen(ctx, "tcp", address)
}

func limitUnacknowledged(_, _ string, connection syscall.RawConn) error {
	return connection.Control(func(descriptor uintptr) {
		// On a kernel without the option, only the keep-alive probes detect a lost path.
		_ = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, tcpUserTimeout, int(unacknowledgedLimit.Milliseconds()))
	})
}
