package quorum

import (
	"cmp"
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"swiftbank.dev/swiftbank/internal/peer"
	"swiftbank.dev/swiftbank/internal/place"
	"swiftbank.dev/swiftbank/internal/replicaset"
	"swiftbank.dev/swiftbank/internal/traffic"
)

// relayIdle is how long a connection to a relaying gateway stays without use.
const relayIdle = 10 * time.Second

// Relays are the connections to replicas by other gateways, for a gateway whose own are
// cut. Connections are opened when they are needed. It is safe for concurrent use.
type Relays struct {
	context context.Context
	node    string
	zone    string
	places  place.Map
	log     *log.Logger
	// replied hands over a replica's reply; reopened says that a relay is connected again, and
	// what was sent before may be lost. Both are set before first use.
	replied  func(RelayReply)
	reopened func()
	// counted is told of each request that went by a relay.
	counted func()
	traffic *traffic.Counter

	mu    sync.Mutex
	nodes map[string]replicaset.Node
	order *relayOrder
	links map[string]*relayLink
	// probedAt is when a request for a replica was last sent while no gateway was proven
	// to reach the replicas. While there may be none, one request at a time asks.
	probedAt map[string]time.Time
}

// NewRelays returns the relays of a gateway. counted is called for each request sent.
func NewRelays(ctx context.Context, node, zone string, places place.Map, logger *log.Logger, counted func()) *Relays {
	return &Relays{
		context: ctx, node: node, zone: zone, places: places, log: logger, counted: counted,
		replied: func(RelayReply) {}, reopened: func() {},
		nodes: map[string]replicaset.Node{}, order: newRelayOrder(), links: map[string]*relayLink{},
		probedAt: map[string]time.Time{},
	}
}

// relayLink is the connection to one relaying gateway.
type relayLink struct {
	relays *Relays
	node   replicaset.Node
	link   *peer.Link[RelayRequest, RelayReply]
	// idle closes the connection when it was not used for relayIdle.
	idle *time.Timer
	// silence is how long no reply has followed a request.
	silence peer.SilenceDetector
}

// SetGateways replaces the gateways by those that the registry lists.
func (r *Relays) SetGateways(nodes map[string]replicaset.Node) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nodes = nodes
	names := r.candidates(nodes)
	slices.SortFunc(names, func(a, b string) int {
		if near := cmp.Compare(r.distance(a), r.distance(b)); near != 0 {
			return near
		}
		return cmp.Compare(a, b)
	})
	r.order.setCandidates(names)
	for name, link := range r.links {
		if node, listed := nodes[name]; !listed || node.Address != link.node.Address {
			r.close(name)
		}
	}
}

// candidates returns the gateways that may relay: those of the own region, or all where it has
// no other. Requests carry turns, and the round trip to another region is long. The caller holds
// the lock.
func (r *Relays) candidates(nodes map[string]replicaset.Node) []string {
	var near, far []string
	for name, node := range nodes {
		switch {
		case name == r.node || node.Leaving:
		case r.distance(name) == place.OtherRegion:
			far = append(far, name)
		default:
			near = append(near, name)
		}
	}
	if len(near) == 0 {
		return far
	}
	return near
}

func (r *Relays) distance(name string) place.Distance {
	return r.places.Distance(r.nodes[name].Zone, r.zone)
}

// send asks other gateways to pass a request on. Nothing is promised: the caller sends
// again what is not answered.
func (r *Relays) send(request RelayRequest, timeout time.Duration) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.order.proven() == "" {
		if now.Sub(r.probedAt[request.Replica]) < timeout {
			return
		}
		r.probedAt[request.Replica] = now
	}
	for _, name := range r.order.pick(now, timeout) {
		r.closeIfSilent(now, name)
		link := r.open(name)
		link.idle.Reset(relayIdle)
		link.silence.RequestSent(now)
		r.order.asked(now, name)
		link.link.Send(request)
		r.counted()
	}
}

// open returns the connection to a gateway. The caller holds the lock.
func (r *Relays) open(name string) *relayLink {
	if link := r.links[name]; link != nil {
		return link
	}
	link := &relayLink{relays: r, node: r.nodes[name]}
	link.idle = time.AfterFunc(relayIdle, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.links[name] == link {
			r.close(name)
		}
	})
	r.links[name] = link
	link.link = peer.NewLink[RelayRequest, RelayReply](r.context, link.node.Address, link)
	r.log.Info().Str("event", "relay_opened").Str("gateway", name).Msg("")
	return link
}

// closeIfSilent ends a connection on which nothing was answered for long. The caller holds the
// lock.
func (r *Relays) closeIfSilent(now time.Time, name string) {
	link := r.links[name]
	if link == nil || !link.silence.TimedOut(now) {
		return
	}
	r.log.Warn().Str("event", "connection_silent").Str("peer", name).Msg("")
	r.close(name)
}

// close ends the connection to a gateway. The caller holds the lock.
func (r *Relays) close(name string) {
	link := r.links[name]
	link.idle.Stop()
	link.link.CloseAsync()
	delete(r.links, name)
	r.log.Info().Str("event", "relay_closed").Str("gateway", name).Msg("")
}

// Sent implements peer.SentCounter.
func (l *relayLink) Sent(_ net.Addr, _ RelayRequest, bytes int) {
	l.relays.traffic.SentToZone("relay", l.node.Zone, bytes)
}

// LinkUp implements peer.Handler.
func (l *relayLink) LinkUp() { l.relays.reopened() }

// LinkDown implements peer.Handler.
func (l *relayLink) LinkDown(error) {
	r := l.relays
	r.mu.Lock()
	defer r.mu.Unlock()
	r.order.failed(time.Now(), l.node.Name)
}

// Received implements peer.Handler.
func (l *relayLink) Received(reply RelayReply) {
	r := l.relays
	r.mu.Lock()
	l.silence.Reset()
	r.mu.Unlock()
	if reply.Unreachable {
		r.mu.Lock()
		r.order.unreachable(time.Now(), l.node.Name)
		r.mu.Unlock()
		return
	}
	r.mu.Lock()
	first := r.order.proven() == ""
	r.order.answered(time.Now(), l.node.Name)
	r.mu.Unlock()
	r.replied(reply)
	if first {
		r.reopened() // what waited for a relay goes by it
	}
}
