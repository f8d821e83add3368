package gateway

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sourcegraph/conc"

	"swiftbank.dev/swiftbank/internal/backend"
	"swiftbank.dev/swiftbank/internal/learned"
	"swiftbank.dev/swiftbank/internal/place"
	"swiftbank.dev/swiftbank/internal/replicaset"
	"swiftbank.dev/swiftbank/internal/tally"
	"swiftbank.dev/swiftbank/internal/traffic"
	"swiftbank.dev/swiftbank/internal/wait"
)

const (
	// gossipInterval is how often a gateway tells the others of its load, when that has
	// changed; gossipRefresh is when it does so anyway.
	gossipInterval = 50 * time.Millisecond
	gossipRefresh  = 500 * time.Millisecond
	// neighbourFanout and remoteFanout bound the gateways of the own zone and of the region's
	// other zones that hear of it each time; the others hear the next ones. So a gateway sends
	// at most 60 datagrams a second, however many gateways there are.
	neighbourFanout = 2
	remoteFanout    = 1
	// distantInterval is how often a zone is told of in each zone of other regions, where its
	// load matters to a program that must leave its own region; speakers is how many gateways
	// of the zone do so, for one may be cut off. Over a link that all regions share, a report
	// to any gateway by any other would cost more than all turns do.
	distantInterval = 500 * time.Millisecond
	speakers        = 2
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
	// Passed is set in a report of another region that a neighbour forwards: it is not
	// forwarded again.
	Passed bool
	// Version orders the reports of one gateway; Sections holds the figures of features.
	Version  tally.Version
	Sections map[string][]byte
	// Learned is set in what a cache sends, and nothing else is then.
	Learned *learned.Message
}

// Gossip shares the load that each gateway puts on the instances, so that gateways
// that place alone do not all choose the same one.
type Gossip struct {
	node      string
	zone      string
	places    place.Map
	directory *backend.Directory
	traffic   *traffic.Counter

	// sections are the parts of the reports that belong to features; sent numbers the reports.
	sections []reportSection
	sent     uint64
	// caches are the replicas that keep what was learned; nil for none.
	caches *learnedCaches

	// heardAt is when a report last came, since started; others is how many gateways
	// there are besides this one.
	started time.Time
	heardAt atomic.Int64
	others  atomic.Int64

	mu         sync.Mutex
	neighbours rotation
	// remotes holds the gateways of the region's other zones, and a nil address for each
	// gateway of another region: a turn in which nothing is sent.
	remotes rotation
	// distant holds the gateways of each zone of other regions; speaks is set on the
	// gateways that report there.
	distant map[string]*rotation
	speaks  bool
}

// gossipTimeout is how long no gateway may be heard of before all are out of reach:
// some gateway reports each gossipRefresh.
const gossipTimeout = 2 * time.Second

// PeersTimedOut reports whether there are other gateways and none has been heard of lately.
func (g *Gossip) PeersTimedOut(now time.Time) bool {
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
func NewGossip(node, zone string, places place.Map, directory *backend.Directory, counter *traffic.Counter) *Gossip {
	return &Gossip{node: node, zone: zone, places: places, directory: directory, traffic: counter, started: time.Now()}
}

// SetGateways replaces the other gateways by those that the registry lists.
func (g *Gossip) SetGateways(nodes map[string]replicaset.Node) {
	var neighbours, remotes []net.Addr
	distant := map[string]*rotation{}
	others, rank := 0, 0
	for _, name := range slices.Sorted(maps.Keys(nodes)) {
		node := nodes[name]
		address, err := net.ResolveUDPAddr("udp", node.Address)
		if err != nil || name == g.node {
			continue
		}
		others++
		switch g.places.Distance(g.zone, node.Zone) {
		case place.SameZone:
			neighbours = append(neighbours, address)
			if name < g.node {
				rank++
			}
		case place.SameRegion:
			remotes = append(remotes, address)
		default:
			if distant[node.Zone] == nil {
				distant[node.Zone] = &rotation{}
			}
			distant[node.Zone].addresses = append(distant[node.Zone].addresses, address)
			// Without an empty turn for it, the own region's gateways would be told more often
			// than their decisions need.
			remotes = append(remotes, nil)
		}
	}
	if len(distant) > 0 {
		g.spread(remotes)
	}
	g.others.Store(int64(others))
	g.mu.Lock()
	defer g.mu.Unlock()
	g.neighbours.addresses, g.remotes.addresses = neighbours, remotes
	g.distant, g.speaks = distant, rank < speakers
}

// spread shuffles the empty turns among the others, in an order of this gateway's
// own: if all gateways skipped the same turns, they would be believed to have no load.
func (g *Gossip) spread(remotes []net.Addr) {
	random := rand.New(rand.NewPCG(xxhash.Sum64String(g.node), uint64(len(remotes))))
	random.Shuffle(len(remotes), func(i, j int) { remotes[i], remotes[j] = remotes[j], remotes[i] })
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
	if g.caches != nil {
		running.Go(func() { g.runCaches(ctx, socket) })
	}
	g.send(ctx, socket)
	_ = socket.Close()
	running.Wait()
	return nil
}

func (g *Gossip) send(ctx context.Context, socket net.PacketConn) {
	var last map[string]int
	var sentAt, distantAt time.Time
	for g.awaitTurn(ctx, len(last) > 0) {
		now := time.Now()
		if now.Sub(distantAt) >= distantInterval {
			distantAt = now
			g.sendTo(socket, g.takeDistant(), g.zoneReport(now))
		}
		loads := g.directory.Loads(now)
		if maps.Equal(loads, last) && now.Sub(sentAt) < gossipRefresh {
			continue
		}
		last, sentAt = loads, now
		g.mu.Lock()
		neighbours, remotes := g.neighbours.take(neighbourFanout), g.remotes.take(remoteFanout)
		g.mu.Unlock()
		g.sendTo(socket, neighbours, loadReport{Gateway: g.node, Loads: loads, Version: g.nextVersion(), Sections: g.ownSections(now)})
		g.sendTo(socket, remotes, g.zoneReport(now))
	}
}

// zoneReport returns what another zone is told.
func (g *Gossip) zoneReport(now time.Time) loadReport {
	return loadReport{
		Gateway: g.node, Zone: g.zone, Loads: g.directory.ZoneLoads(now), Version: g.nextVersion(), Sections: g.zoneSections(now),
	}
}

// nextVersion numbers a report. Only the sending goroutine calls it.
func (g *Gossip) nextVersion() tally.Version {
	g.sent++
	return tally.Version{Started: g.started.UnixNano(), Number: g.sent}
}

// awaitTurn waits until this gateway's load may have changed: for gossipInterval while requests
// are in flight, and else until one is placed, but not past gossipRefresh. A gateway of a large
// fleet has none most of the time, and would wake up twenty times a second for nothing.
func (g *Gossip) awaitTurn(ctx context.Context, busy bool) bool {
	if !wait.For(ctx, gossipInterval) {
		return false
	}
	if busy {
		return true
	}
	refresh := time.NewTimer(gossipRefresh - gossipInterval)
	defer refresh.Stop()
	select {
	case <-g.directory.Placed():
	case <-refresh.C:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// takeDistant returns one gateway of each zone of other regions, if this one reports there.
func (g *Gossip) takeDistant() []net.Addr {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.speaks {
		return nil
	}
	var taken []net.Addr
	for _, zone := range slices.Sorted(maps.Keys(g.distant)) {
		taken = append(taken, g.distant[zone].take(1)...)
	}
	return taken
}

// passOn forwards a report of another region to all gateways of the own zone: it was sent to
// one of them only.
func (g *Gossip) passOn(socket net.PacketConn, report loadReport) {
	if report.Passed || report.Zone == "" || g.places.Distance(g.zone, report.Zone) != place.OtherRegion {
		return
	}
	g.mu.Lock()
	neighbours := slices.Clone(g.neighbours.addresses)
	g.mu.Unlock()
	report.Passed = true
	g.sendTo(socket, neighbours, report)
}

func (g *Gossip) sendTo(socket net.PacketConn, peers []net.Addr, report loadReport) {
	var message bytes.Buffer
	if len(peers) == 0 || gob.NewEncoder(&message).Encode(report) != nil {
		return
	}
	for _, peer := range peers {
		if peer == nil {
			continue
		}
		if sent, err := socket.WriteTo(message.Bytes(), peer); err == nil {
			g.traffic.AddSentTo("load", peer, sent)
		}
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
		if gob.NewDecoder(bytes.NewReader(buffer[:size])).Decode(&report) != nil {
			continue
		}
		if report.Learned != nil {
			g.recall(time.Now(), *report.Learned)
			continue
		}
		g.take(time.Now(), report)
		g.passOn(socket, report)
	}
}

// take applies one report. A report of the own zone is what its gateways say
// themselves.
func (g *Gossip) take(now time.Time, report loadReport) {
	g.heardAt.Store(int64(now.Sub(g.started)))
	g.takeSections(now, report)
	switch report.Zone {
	case "":
		g.directory.SetRemoteLoads(now, backend.LoadSource{Gateway: report.Gateway}, report.Loads)
	case g.zone:
	default:
		g.directory.SetRemoteLoads(now, backend.LoadSource{Zone: report.Zone}, report.Loads)
	}
}

func socketClosed(err error) bool { return errors.Is(err, net.ErrClosed) }
