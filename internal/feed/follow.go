package feed

import (
	"bufio"
	"context"
	"encoding/gob"
	"fmt"
	"net"
	"slices"
	"strings"
	"time"

	"swiftbank.dev/swiftbank/internal/peer"
)

const (
	// dialTimeout bounds the wait for a connection to an upstream. An opening packet that
	// is lost, as while a machine starts, is sent again by the kernel after a second; a new
	// try comes sooner. Round trips between zones are far below.
	dialTimeout = 150 * time.Millisecond
	// bufferBytes is the size of the buffers of a connection.
	bufferBytes = 8 << 10
)

// runFollowing polls the upstream that is to be followed, until the context ends.
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

// awaitUpstream waits until there is another upstream than the one that ended.
func (n *Node) awaitUpstream(ctx context.Context, ended *Upstream) {
	for ctx.Err() == nil {
		n.mu.Lock()
		changed := n.applied.Follow != ended
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
	n.step(func(now time.Time) Output[asker] { return n.core.Failed(now, upstream) })
}

// follow polls one upstream until it fails or the context ends.
func (n *Node) follow(ctx context.Context, upstream Upstream) error {
	connection, err := dialAny(ctx, n.addressesOf(upstream))
	if err != nil {
		return fmt.Errorf("feed: %w", err)
	}
	n.useless = connection.RemoteAddr().String()
	defer connection.Close()
	stop := context.AfterFunc(ctx, func() { _ = connection.Close() })
	defer stop()
	encoder := gob.NewEncoder(connection)
	decoder := gob.NewDecoder(bufio.NewReaderSize(connection, bufferBytes))
	for {
		reply, err := poll(connection, encoder, decoder, Request{Node: n.options.Node, Positions: n.Positions()})
		if err != nil {
			return err
		}
		if reply.Status.Fresh() {
			n.useless = ""
		}
		n.step(func(now time.Time) Output[asker] { return n.core.Heard(now, upstream, reply) })
	}
}

// addressesOf returns where to poll an upstream. Of several addresses the one that was
// connected last and had nothing fresh to tell is left out once.
func (n *Node) addressesOf(upstream Upstream) []string {
	addresses := strings.Split(upstream.Address, addressSeparator)
	if len(addresses) > 1 {
		addresses = slices.DeleteFunc(addresses, func(address string) bool { return address == n.useless })
	}
	n.useless = ""
	return addresses
}

// dialed is the end of one try to connect.
type dialed struct {
	connection net.Conn
	err        error
}

// dialAny connects to all addresses at the same time and returns the first connection, or
// the last error.
func dialAny(ctx context.Context, addresses []string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	results := make(chan dialed, len(addresses))
	for _, address := range addresses {
		go func() {
			connection, err := peer.Dialer(dialTimeout).DialContext(ctx, "tcp", address)
			results <- dialed{connection: connection, err: err}
		}()
	}
	var last error
	for tried := range addresses {
		result := <-results
		if result.err != nil {
			last = result.err
			continue
		}
		go closeRest(cancel, results, len(addresses)-tried-1)
		return result.connection, nil
	}
	cancel()
	return nil, last
}

// closeRest ends the tries that came second.
func closeRest(cancel context.CancelFunc, results <-chan dialed, count int) {
	cancel()
	for range count {
		if result := <-results; result.err == nil {
			_ = result.connection.Close()
		}
	}
}

// poll asks once and waits for the answer.
func poll(connection net.Conn, encoder *gob.Encoder, decoder *gob.Decoder, request Request) (Reply, error) {
	if err := connection.SetDeadline(time.Now().Add(answerTimeout)); err != nil {
		return Reply{}, fmt.Errorf("feed: %w", err)
	}
	if err := encoder.Encode(request); err != nil {
		return Reply{}, fmt.Errorf("feed: ask: %w", err)
	}
	var reply Reply
	if err := decoder.Decode(&reply); err != nil {
		return Reply{}, fmt.Errorf("feed: answer: %w", err)
	}
	return reply, nil
}
