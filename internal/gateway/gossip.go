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
	// gossipInterval is how often a gateway reports its load when it has changed;
	// gossipRefresh is how often it does so when it has not.
	gossipInterval = 50 * time.Millisecond
	gossipRefresh  = 500 * time.Millisecond
	// neighbourFanout and remoteFanout bound the gateways of the own zone, and of the region's
	// other zones, that receive each report; the next report goes to the next gateways in
	// round-robin order. So a gateway sends at most 60 datagrams a second, regardless of the
	// number of gateways.
	neighbourFanout = 2
	remoteFanout    = 1
	// crossRegionInterval is how often a zone reports to each zone of other regions, where its
	// load matters to a program that must leave its own region. zoneReporters is the number of
	// gateways of the zone that do so: more than one, because one may be partitioned. If every
	// gateway reported to every other one over the shared link between regions, the reports
	// would cost more than all turns do.
	crossRegionInterval = 500 * time.Millisecond
	zoneReporters       = 2
	// datagramBytes is the maximum size of a datagram.
	datagramBytes = 60 << 10
)

// loadReport is one datagram with the requests in flight by instance. To its own zone a
// gateway reports its own requests, to other zones those of its whole zone as far as it
// knows them.
type loadReport struct {
	Gateway string
	// Zone is set in a report on a whole zone.
	Zone  string
	Loads map[string]int
	// Passed is set in a report from another region that a neighbour forwarded. It is not
	// forwarded again.
	Passed bool
	// Version orders the reports of one gateway; Sections holds the encoded figures by section.
	Version  tally.Version
	Sections map[string][]byte
	// Learned is set in a message from a cache, in which all other fields are empty.
	Learned *learned.Message
}

// Gossip exchanges the load that each gateway puts on the instances, so that gateways, which
// place requests independently, do not all select the same instance.
type Gossip struct {
	node      string
	zone      string
	places    place.Map
	directory *backend.Directory
	traffic   *traffic.Counter

	// sections are the parts of the reports that belong to features; reportsSent numbers the
	// reports.
	sections    []reportSection
	reportsSent uint64
	// caches are the replicas that store learned state; nil if there are none.
	caches *learnedCaches

	// receivedAt is when the last report was received, as a duration since started; peerCount
	// is the number of other gateways.
	started    time.Time
	receivedAt atomic.Int64
	peerCount  atomic.Int64

	// socket sends broadcasts; nil before Run.
	socket atomic.Pointer[net.PacketConn]

	mu         sync.Mutex
	neighbours rotation
	// remotes holds the gateways of the region's other zones, and a nil address for each
	// gateway of another region: an empty slot, in which nothing is sent.
	remotes rotation
	// otherRegions holds the gateways of each zone of other regions; reportsZone is set on the
	// gateways that report for their zone to other regions and to the replicas that store learned
	// state.
	otherRegions map[string]*rotation
	reportsZone  bool
}

// gossipTimeout is how long no report may be received before the other gateways count as
// unreachable: some gateway reports at least every gossipRefresh.
const gossipTimeout = 2 * time.Second

// PeersTimedOut reports whether there are other gateways and no report of any was received
// within gossipTimeout.
func (g *Gossip) PeersTimedOut(now time.Time) bool {
	return g.peerCount.Load() > 0 && now.Sub(g.started)-time.Duration(g.receivedAt.Load()) > gossipTimeout
}

// rotation returns its addresses in round-robin order.
type rotation struct {
	addresses []net.Addr
	next      int
}

// nextAddresses returns up to count addresses and advances the rotation past them.
func (r *rotation) nextAddresses(count int) []net.Addr {
	count = min(count, len(r.addresses))
	taken := make([]net.Addr, 0, count)
	for range count {
		taken = append(taken, r.addresses[r.next%len(r.addresses)])
		r.next++
	}
	return taken
}

// NewGossip returns the gossip of the gateway named node.
func NewGossip(node, zone string, places place.Map, directory *backend.Directory, counter *traffic.Counter) *Gossip {
	return &Gossip{node: node, zone: zone, places: places, directory: directory, traffic: counter, started: time.Now()}
}

// SetGateways replaces the gateways to report to by those that the registry lists.
func (g *Gossip) SetGateways(nodes map[string]replicaset.Node) {
	var neighbours, remotes []net.Addr
	otherRegions := map[string]*rotation{}
	peerCount, rank := 0, 0
	for _, name := range slices.Sorted(maps.Keys(nodes)) {
		node := nodes[name]
		address, err := net.ResolveUDPAddr("udp", node.Address)
		if err != nil || name == g.node {
			continue
		}
		peerCount++
		switch g.places.Distance(g.zone, node.Zone) {
		case place.SameZone:
			neighbours = append(neighbours, address)
			if name < g.node {
				rank++
			}
		case place.SameRegion:
			remotes = append(remotes, address)
		default:
			if otherRegions[node.Zone] == nil {
				otherRegions[node.Zone] = &rotation{}
			}
			otherRegions[node.Zone].addresses = append(otherRegions[node.Zone].addresses, address)
			// The nil address is an empty slot in the rotation. Without it, the own region's
			// gateways would receive reports more often than their decisions need.
			remotes = append(remotes, nil)
		}
	}
	if len(otherRegions) > 0 {
		g.shuffleEmptySlots(remotes)
	}
	g.peerCount.Store(int64(peerCount))
	g.mu.Lock()
	defer g.mu.Unlock()
	g.neighbours.addresses, g.remotes.addresses = neighbours, remotes
	g.otherRegions, g.reportsZone = otherRegions, rank < zoneReporters
}

// shuffleEmptySlots shuffles the empty slots among the others, in an order specific to this
// gateway: if all gateways skipped the same slots, they would seem to have no load.
func (g *Gossip) shuffleEmptySlots(remotes []net.Addr) {
	random := rand.New(rand.NewPCG(xxhash.Sum64String(g.node), uint64(len(remotes))))
	random.Shuffle(len(remotes), func(i, j int) { remotes[i], remotes[j] = remotes[j], remotes[i] })
}

// Run sends and receives reports on the address until the context ends.
func (g *Gossip) Run(ctx context.Context, address string) error {
	var config net.ListenConfig
	socket, err := config.ListenPacket(ctx, "udp", address)
	if err != nil {
		return err
	}
	g.socket.Store(&socket)
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

// send reports this gateway's load until the context ends.
func (g *Gossip) send(ctx context.Context, socket net.PacketConn) {
	var lastLoads map[string]int
	var sentAt, crossRegionSentAt time.Time
	for g.awaitLoadChange(ctx, len(lastLoads) > 0) {
		now := time.Now()
		if now.Sub(crossRegionSentAt) >= crossRegionInterval {
			crossRegionSentAt = now
			g.sendTo(socket, g.nextCrossRegionAddresses(), g.zoneReport(now))
		}
		loads := g.directory.Loads(now)
		if maps.Equal(loads, lastLoads) && now.Sub(sentAt) < gossipRefresh {
			continue
		}
		lastLoads, sentAt = loads, now
		g.mu.Lock()
		neighbours, remotes := g.neighbours.nextAddresses(neighbourFanout), g.remotes.nextAddresses(remoteFanout)
		g.mu.Unlock()
		g.sendTo(socket, neighbours, loadReport{Gateway: g.node, Loads: loads, Version: g.nextVersion(), Sections: g.ownSections(now)})
		g.sendTo(socket, remotes, g.zoneReport(now))
	}
}

// zoneReport returns the report for another zone.
func (g *Gossip) zoneReport(now time.Time) loadReport {
	return loadReport{
		Gateway: g.node, Zone: g.zone, Loads: g.directory.ZoneLoads(now), Version: g.nextVersion(), Sections: g.zoneSections(now),
	}
}

// nextVersion returns the version of the next report. Only the sending goroutine may call it.
func (g *Gossip) nextVersion() tally.Version {
	g.reportsSent++
	return tally.Version{Started: g.started.UnixNano(), Number: g.reportsSent}
}

// awaitLoadChange waits until this gateway's load may have changed: for gossipInterval while
// requests are in flight, otherwise until one is placed, but no longer than gossipRefresh. In a
// large fleet most gateways are idle most of the time, and polling would wake each of them
// twenty times a second. It reports whether the context is still active.
func (g *Gossip) awaitLoadChange(ctx context.Context, busy bool) bool {
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

// nextCrossRegionAddresses returns the address of one gateway in each zone of other regions if this
// gateway reports there, else nil.
func (g *Gossip) nextCrossRegionAddresses() []net.Addr {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.reportsZone {
		return nil
	}
	var taken []net.Addr
	for _, zone := range slices.Sorted(maps.Keys(g.otherRegions)) {
		taken = append(taken, g.otherRegions[zone].nextAddresses(1)...)
	}
	return taken
}

// forward sends a report from another region to all gateways of the own zone: the sender sent it
// to one of them only.
func (g *Gossip) forward(socket net.PacketConn, report loadReport) {
	if report.Passed || report.Zone == "" || g.places.Distance(g.zone, report.Zone) != place.OtherRegion {
		return
	}
	g.mu.Lock()
	neighbours := slices.Clone(g.neighbours.addresses)
	g.mu.Unlock()
	report.Passed = true
	g.sendTo(socket, neighbours, report)
}

// Broadcast sends the figures of one section to all gateways, with the loads that other versions expect in a
// report.
func (g *Gossip) Broadcast(section string, figures []byte) {
	socket := g.socket.Load()
	if socket == nil || len(figures) == 0 {
		return
	}
	now := time.Now()
	sections := map[string][]byte{section: figures}
	neighbours, others := g.everyone()
	g.sendTo(*socket, neighbours, loadReport{Gateway: g.node, Loads: g.directory.Loads(now), Sections: sections})
	// Each gateway gets it directly, so none forwards it.
	g.sendTo(*socket, others, loadReport{Gateway: g.node, Zone: g.zone, Loads: g.directory.ZoneLoads(now), Passed: true, Sections: sections})
}

// everyone returns the addresses of the other gateways of the own zone, and of all others.
func (g *Gossip) everyone() (neighbours, others []net.Addr) {
	g.mu.Lock()
	defer g.mu.Unlock()
	others = slices.Clone(g.remotes.addresses)
	for _, zone := range slices.Sorted(maps.Keys(g.otherRegions)) {
		others = append(others, g.otherRegions[zone].addresses...)
	}
	return slices.Clone(g.neighbours.addresses), others
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
			g.restoreLearned(time.Now(), *report.Learned)
			continue
		}
		g.apply(time.Now(), report)
		g.forward(socket, report)
	}
}

// apply records a received report. A report on the own zone is ignored: its gateways report
// their loads themselves.
func (g *Gossip) apply(now time.Time, report loadReport) {
	g.receivedAt.Store(int64(now.Sub(g.started)))
	g.applySections(now, report)
	switch report.Zone {
	case "":
		g.directory.SetRemoteLoads(now, backend.LoadSource{Gateway: report.Gateway}, report.Loads)
	case g.zone:
	default:
		g.directory.SetRemoteLoads(now, backend.LoadSource{Zone: report.Zone}, report.Loads)
	}
}

func socketClosed(err error) bool { return errors.Is(err, net.ErrClosed) }
