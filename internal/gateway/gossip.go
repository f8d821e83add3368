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
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"swiftbank.dev/swiftbank/internal/backend"
	"swiftbank.dev/swiftbank/internal/replicaset"
)

const (
	// gossipInterval is how often a gateway tells the others of its load, when that has
	// changed; gossipRefresh is when it does so anyway.
	gossipInterval = 50 * time.Millisecond
	gossipRefresh  = 500 * time.Millisecond
	// neighbourFanout and remoteFanout bound the gateways of the own zone and of other
	// zones that hear of it each time; the others hear the next ones. So a gateway sends
	// at most 60 datagrams a second, however many gateways there are.
	neighbourFanout = 2
	remoteFanout    = 1
	// datagramBytes bounds one datagram.
	datagramBytes = 60 << 10
)

// loadReport is one datagram: requests in flight by instance. To its own zone a
// gateway tells what it has itself, to other zones what its whole zone has as far as
// it knows.
type loadReport struct {
	Gateway string
	// Zone is set in a report of a whole zone.
	Zone  string
	Loads map[string]int
}

// Gossip shares the load that each gateway puts on the instances, so that gateways
// that place alone do not all choose the same one.
type Gossip struct {
	node      string
	zone      string
	directory *backend.Directory

	// heardAt is when a report last came, since started; others is how many gateways
	// there are besides this one.
	started time.Time
	heardAt atomic.Int64
	others  atomic.Int64

	mu         sync.Mutex
	neighbours rotation
	remotes    rotation
}

// gossipTimeout is how long no gateway may be heard of before all are out of reach:
// some gateway reports each gossipRefresh.
const gossipTimeout = 2 * time.Second

// Alone reports whether there are other gateways and none has been heard of lately.
func (g *Gossip) Alone(now time.Time) bool {
	return g.others.Load() > 0 && now.Sub(g.started)-time.Duration(g.heardAt.Load()) > gossipTimeout
}

// rotation hands out its addresses in turn.
type rotation struct {
	addresses []net.Addr
	next      int
}

// take returns up to count addresses, each in its turn.
func (r *rotation) take(count int) []net.Addr {
	count = min(count, len(r.addresses))
	taken := make([]net.Addr, 0, count)
	for range count {
		taken = append(taken, r.addresses[r.next%len(r.addresses)])
		r.next++
	}
	return taken
}

// NewGossip returns the gossip of a gateway.
func NewGossip(node, zone string, directory *backend.Directory) *Gossip {
	return &Gossip{node: node, zone: zone, directory: directory, started: time.Now()}
}

// SetGateways replaces the other gateways by those that the registry lists.
func (g *Gossip) SetGateways(nodes map[string]replicaset.Node) {
	var neighbours, remotes []net.Addr
	for _, name := range slices.Sorted(maps.Keys(nodes)) {
		node := nodes[name]
		address, err := net.ResolveUDPAddr("udp", node.Address)
		switch {
		case err != nil || name == g.node:
		case node.Zone == g.zone:
			neighbours = append(neighbours, address)
		default:
			remotes = append(remotes, address)
		}
	}
	g.others.Store(int64(len(neighbours) + len(remotes)))
	g.mu.Lock()
	g.neighbours.addresses, g.remotes.addresses = neighbours, remotes
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
			loads := g.directory.Loads(now)
			if maps.Equal(loads, last) && now.Sub(sentAt) < gossipRefresh {
				continue
			}
			last, sentAt = loads, now
			g.mu.Lock()
			neighbours, remotes := g.neighbours.take(neighbourFanout), g.remotes.take(remoteFanout)
			g.mu.Unlock()
			sendTo(socket, neighbours, loadReport{Gateway: g.node, Loads: loads})
			sendTo(socket, remotes, loadReport{Gateway: g.node, Zone: g.zone, Loads: g.directory.ZoneLoads(now)})
		}
	}
}

func sendTo(socket net.PacketConn, peers []net.Addr, report loadReport) {
	var message bytes.Buffer
	if len(peers) == 0 || gob.NewEncoder(&message).Encode(report) != nil {
		return
	}
	for _, peer := range peers {
		_, _ = socket.WriteTo(message.Bytes(), peer)
	}
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
			g.take(time.Now(), report)
		}
	}
}

// take applies one report. A report of the own zone is what its gateways say
// themselves.
func (g *Gossip) take(now time.Time, report loadReport) {
	g.heardAt.Store(int64(now.Sub(g.started)))
	switch report.Zone {
	case "":
		g.directory.RemoteLoads(now, backend.LoadSource{Gateway: report.Gateway}, report.Loads)
	case g.zone:
	default:
		g.directory.RemoteLoads(now, backend.LoadSource{Zone: report.Zone}, report.Loads)
	}
}

func socketClosed(err error) bool { return errors.Is(err, net.ErrClosed) }
