package gateway

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"swiftbank.dev/swiftbank/internal/backend"
	"swiftbank.dev/swiftbank/internal/replicaset"
)

const (
	// gossipInterval is how often a gateway tells the others what it has in flight,
	// when that has changed; gossipRefresh is when it does so anyway.
	gossipInterval = 50 * time.Millisecond
	gossipRefresh  = 500 * time.Millisecond
	// gossipFanout bounds the gateways that one report goes to; the others get the
	// next ones.
	gossipFanout = 8
	// datagramBytes bounds one datagram.
	datagramBytes = 60 << 10
)

// loadReport is one datagram: a gateway's requests in flight by instance.
type loadReport struct {
	Gateway string
	Loads   map[string]int
}

// Gossip shares the load that each gateway puts on the instances, so that gateways
// that place alone do not all choose the same one.
type Gossip struct {
	node      string
	directory *backend.Directory

	mu    sync.Mutex
	peers []net.Addr
	next  int
}

// NewGossip returns the gossip of a gateway.
func NewGossip(node string, directory *backend.Directory) *Gossip {
	return &Gossip{node: node, directory: directory}
}

// SetGateways takes in the gateways that the registry lists.
func (g *Gossip) SetGateways(nodes map[string]replicaset.Node) {
	var peers []net.Addr
	for _, name := range slices.Sorted(maps.Keys(nodes)) {
		address, err := net.ResolveUDPAddr("udp", nodes[name].Address)
		if err == nil && name != g.node {
			peers = append(peers, address)
		}
	}
	g.mu.Lock()
	g.peers = peers
	g.mu.Unlock()
}

// Run sends and receives until the context ends.
func (g *Gossip) Run(ctx context.Context, address string) error {
	var config net.ListenConfig
	socket, err := config.ListenPacket(ctx, "udp", address)
	if err != nil {
		return err
	}
	var running conc.WaitGroup
	running.Go(func() { g.receive(socket) })
	g.send(ctx, socket)
	_ = socket.Close()
	running.Wait()
	return nil
}

func (g *Gossip) send(ctx context.Context, socket net.PacketConn) {
	ticker := time.NewTicker(gossipInterval)
	defer ticker.Stop()
	var last map[string]int
	var sentAt time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			loads := g.directory.Loads()
			if maps.Equal(loads, last) && now.Sub(sentAt) < gossipRefresh {
				continue
			}
			last, sentAt = loads, now
			g.broadcast(socket, loadReport{Gateway: g.node, Loads: loads})
		}
	}
}

func (g *Gossip) broadcast(socket net.PacketConn, report loadReport) {
	var message bytes.Buffer
	if gob.NewEncoder(&message).Encode(report) != nil {
		return
	}
	for _, peer := range g.round() {
		_, _ = socket.WriteTo(message.Bytes(), peer)
	}
}

// round returns the gateways that the next report goes to, each in its turn.
func (g *Gossip) round() []net.Addr {
	g.mu.Lock()
	defer g.mu.Unlock()
	count := min(gossipFanout, len(g.peers))
	round := make([]net.Addr, 0, count)
	for range count {
		round = append(round, g.peers[g.next%len(g.peers)])
		g.next++
	}
	return round
}

func (g *Gossip) receive(socket net.PacketConn) {
	buffer := make([]byte, datagramBytes)
	for {
		size, _, err := socket.ReadFrom(buffer)
		if err != nil {
			if socketClosed(err) {
				return
			}
			continue
		}
		var report loadReport
		if gob.NewDecoder(bytes.NewReader(buffer[:size])).Decode(&report) == nil {
			g.directory.RemoteLoads(time.Now(), report.Gateway, report.Loads)
		}
	}
}

func socketClosed(err error) bool { return errors.Is(err, net.ErrClosed) }
