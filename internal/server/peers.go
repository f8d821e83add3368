package server

import (
	"encoding/gob"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"swiftbank.dev/swiftbank/internal/core"
	"swiftbank.dev/swiftbank/internal/peer"
	"swiftbank.dev/swiftbank/internal/topology"
	"swiftbank.dev/swiftbank/internal/wait"
)

const (
	// peerQueue is how many frames may wait for a slow peer; more are dropped,
	// as a network would.
	peerQueue = 8192
	// peerDialTimeout and peerWriteTimeout bound waiting for a peer.
	peerDialTimeout  = time.Second
	peerWriteTimeout = 2 * time.Second
	// maxFrameBytes is the maximum size of one frame.
	maxFrameBytes = 256 << 20
	// peerRedialDelay spaces the tries to reach a peer.
	peerRedialDelay = 100 * time.Millisecond
)

// frame is what travels on a connection between nodes: exactly one field is set.
type frame struct {
	Envelope *core.Envelope
	Chunk    *streamChunk
}

// streamChunk carries a piece of an answer to the caller's gateway.
type streamChunk struct {
	// Incarnation and RequestID name the caller at its gateway.
	Incarnation uint64
	RequestID   uint64
	// StreamAttempt tells generations of one call apart.
	StreamAttempt int
	// Offset is the place of Text in the answer, in bytes.
	Offset int64
	Text   string
}

// peerTransport connects the node with the other nodes: one outgoing TCP
// connection to each, over which gob-encoded frames are sent.
type peerTransport struct {
	server   *Server
	layout   *topology.Topology
	listener net.Listener

	mu      sync.Mutex
	queues  map[string]chan frame
	open    map[net.Conn]bool
	closed  bool
	writers conc.WaitGroup
	readers conc.WaitGroup
}

func newPeerTransport(server *Server, layout *topology.Topology) *peerTransport {
	core.RegisterGob()
	return &peerTransport{
		server: server, layout: layout,
		queues: map[string]chan frame{}, open: map[net.Conn]bool{},
	}
}

func (t *peerTransport) listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("server: peer address: %w", err)
	}
	t.listener = listener
	return nil
}

// run accepts connections from peers until close.
func (t *peerTransport) run() {
	for {
		connection, err := t.listener.Accept()
		if err != nil {
			break
		}
		if !t.track(connection) {
			break
		}
		t.readers.Go(func() { t.read(connection) })
	}
	t.readers.Wait()
	t.writers.Wait()
}

// track remembers a connection for close; it refuses once closed.
func (t *peerTransport) track(connection net.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		_ = connection.Close()
		return false
	}
	t.open[connection] = true
	return true
}

func (t *peerTransport) untrack(connection net.Conn) {
	t.mu.Lock()
	delete(t.open, connection)
	t.mu.Unlock()
	_ = connection.Close()
}

func (t *peerTransport) close() {
	t.mu.Lock()
	t.closed = true
	for connection := range t.open {
		_ = connection.Close()
	}
	t.mu.Unlock()
	_ = t.listener.Close()
}

// read handles the frames of one peer connection. A frame that cannot be
// decoded ends the connection; the peer opens a new one.
func (t *peerTransport) read(connection net.Conn) {
	defer t.untrack(connection)
	decoder := peer.NewDecoderWithLimit(connection, maxFrameBytes)
	for {
		var received frame
		if err := decoder.Decode(&received); err != nil {
			return
		}
		switch {
		case received.Envelope != nil:
			t.server.push(core.PeerReceived{Envelope: *received.Envelope})
		case received.Chunk != nil:
			t.server.callers.chunk(*received.Chunk)
		}
	}
}

func (t *peerTransport) sendEnvelope(to string, envelope core.Envelope) {
	t.send(to, frame{Envelope: &envelope})
}

// send queues a frame for a peer and drops it when the queue is full.
func (t *peerTransport) send(to string, sent frame) {
	t.mu.Lock()
	queue := t.queues[to]
	if queue == nil && !t.closed {
		queue = make(chan frame, peerQueue)
		t.queues[to] = queue
		node, _ := t.layout.Node(to)
		t.writers.Go(func() { t.write(node.Address, queue) })
	}
	t.mu.Unlock()
	select {
	case queue <- sent:
	default:
		t.server.metrics.peerDrops.Inc()
	}
}

// write sends the frames of one queue, over a new connection after each failure.
func (t *peerTransport) write(address string, queue chan frame) {
	var connection net.Conn
	var encoder *gob.Encoder
	for {
		var next frame
		select {
		case <-t.server.context.Done():
			if connection != nil {
				t.untrack(connection)
			}
			return
		case next = <-queue:
		}
		if connection == nil {
			connection = t.dial(address)
			if connection == nil {
				wait.For(t.server.context, peerRedialDelay)
				continue
			}
			encoder = gob.NewEncoder(connection)
		}
		_ = connection.SetWriteDeadline(time.Now().Add(peerWriteTimeout))
		if err := encoder.Encode(next); err != nil {
			t.untrack(connection)
			connection = nil
		}
	}
}

func (t *peerTransport) dial(address string) net.Conn {
	connection, err := net.DialTimeout("tcp", address, peerDialTimeout)
	if err != nil || !t.track(connection) {
		return nil
	}
	return connection
}
