// Package peer connects the product's own processes: gob-encoded messages over
// kept TCP connections, with the losses of a network made visible as the end of a
// connection within about two seconds.
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
	// unacknowledgedLimit is how long sent bytes may stay unacknowledged before the
	// kernel ends the connection.
	unacknowledgedLimit = 1500 * time.Millisecond
	// dialTimeout bounds the wait for a connection. A peer that was without power when
	// the opening packet came would answer only the next one, a second later: a new try
	// comes sooner.
	dialTimeout = 300 * time.Millisecond
	// AnswerTimeout is how long a peer may send nothing on a connection while a request is
	// unanswered, before the connection is renewed. A connection may fall silent for good though
	// new ones work and the kernel notices no loss. It is longer than answers take on a full link.
	AnswerTimeout = 2 * time.Second
)

// probes are the keep-alive probes that find a silent peer on an idle connection.
var probes = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 3}

// Dialer returns a dialer whose connections end soon after their path is lost.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: probes, Control: limitUnacknowledged}
}

// Listen opens a TCP listener whose connections end soon after their path is lost.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: probes, Control: limitUnacknowledged}
	return config.Listen(ctx, "tcp", address)
}

func limitUnacknowledged(_, _ string, connection syscall.RawConn) error {
	return connection.Control(func(descriptor uintptr) {
		// A kernel without the option leaves detection to the probes.
		_ = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, tcpUserTimeout, int(unacknowledgedLimit.Milliseconds()))
	})
}
