package feed

import (
	"context"
	"encoding/gob"
	"fmt"
	"net"
	"slices"
	"strings"
	"time"

	"swiftbank.dev/swiftbank/internal/peer"
)

// dialTimeout bounds a connection attempt to an upstream. The kernel retransmits a lost SYN, for
// example while a machine starts, only after a second; a new attempt is faster. Round trips between
// zones are far shorter than the timeout.
const dialTimeout = 150 * time.Millisecond

// runFollowing polls the upstream of the applied decision until the context ends.
func (n *Node) runFollowing(ctx context.Context) {
	for ctx.Err() == nil {
		n.mu.Lock()
		upstream := n.applied.Follow
		following, stop := context.WithCancel(ctx)
		n.stopFollow = stop
		n.mu.Unlock()
		if upstream != nil {
			err := n.follow(following, *upstream)
			if following.Err() == nil {
				n.upstreamFailed(*upstream, err)
			}
		}
		stop()
		n.awaitUpstream(ctx, upstream)
	}
}

// awaitUpstream waits until the decision names another upstream than the previous one.
func (n *Node) awaitUpstream(ctx context.Context, previous *Upstream) {
	for ctx.Err() == nil {
		n.mu.Lock()
		changed := n.applied.Follow != previous
		n.mu.Unlock()
		if changed {
			return
		}
		select {
		case <-ctx.Done():
		case <-n.wakeFollow:
		}
	}
}

func (n *Node) upstreamFailed(upstream Upstream, err error) {
	n.log.Warn().Str("event", "upstream_failed").Str("peer", upstream.Node).Str("address", upstream.Address).Err(err).Msg("")
	n.step(func(now time.Time) Output[pollConnection] { return n.core.HandleUpstreamFailure(now, upstream) })
}

// follow polls one upstream until it fails or the context ends.
func (n *Node) follow(ctx context.Context, upstream Upstream) error {
	connection, err := dialAny(ctx, n.addressesOf(upstream))
	if err != nil {
		return fmt.Errorf("feed: %w", err)
	}
	n.staleAddress = connection.RemoteAddr().String()
	defer connection.Close()
	stop := context.AfterFunc(ctx, func() { _ = connection.Close() })
	defer stop()
	encoder := gob.NewEncoder(connection)
	decoder := peer.NewDecoder(connection)
	for {
		reply, err := poll(connection, encoder, decoder, n.request())
		if err != nil {
			return err
		}
		if reply.Status.Fresh() {
			n.staleAddress = ""
		}
		n.step(func(now time.Time) Output[pollConnection] { return n.core.HandleReply(now, upstream, reply) })
	}
}

// addressesOf returns the addresses to dial for an upstream. Of several addresses it omits,
// once, the one that was connected last and sent no fresh data.
func (n *Node) addressesOf(upstream Upstream) []string {
	addresses := strings.Split(upstream.Address, addressSeparator)
	if len(addresses) > 1 {
		addresses = slices.DeleteFunc(addresses, func(address string) bool { return address == n.staleAddress })
	}
	n.staleAddress = ""
	return addresses
}

// dialResult is the result of one connection attempt.
type dialResult struct {
	connection net.Conn
	err        error
}

// dialAny dials all addresses concurrently and returns the first connection, or the last
// error if all attempts fail.
func dialAny(ctx context.Context, addresses []string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	results := make(chan dialResult, len(addresses))
	for _, address := range addresses {
		go func() {
			connection, err := peer.Dialer(dialTimeout).DialContext(ctx, "tcp", address)
			results <- dialResult{connection: connection, err: err}
		}()
	}
	var lastErr error
	for received := range addresses {
		result := <-results
		if result.err != nil {
			lastErr = result.err
			continue
		}
		go closeRemaining(cancel, results, len(addresses)-received-1)
		return result.connection, nil
	}
	cancel()
	return nil, lastErr
}

// closeRemaining cancels the other connection attempts and closes those that succeeded.
func closeRemaining(cancel context.CancelFunc, results <-chan dialResult, count int) {
	cancel()
	for range count {
		if result := <-results; result.err == nil {
			_ = result.connection.Close()
		}
	}
}

// poll sends one request and waits for the reply, for at most replyTimeout.
func poll(connection net.Conn, encoder *gob.Encoder, decoder *peer.Decoder, request Request) (Reply, error) {
	if err := connection.SetDeadline(time.Now().Add(replyTimeout)); err != nil {
		return Reply{}, fmt.Errorf("feed: %w", err)
	}
	if err := encoder.Encode(request); err != nil {
		return Reply{}, fmt.Errorf("feed: send poll: %w", err)
	}
	var reply Reply
	if err := decoder.Decode(&reply); err != nil {
		return Reply{}, fmt.Errorf("feed: receive reply: %w", err)
	}
	return reply, nil
}
