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

// relayIdleTimeout is how long an unused connection to a relay stays open.
const relayIdleTimeout = 10 * time.Second

// Relays sends requests to replicas through other gateways, called relays, when the gateway's own
// connections to the replicas are down or unresponsive. It connects to a relay on demand. It is
// safe for concurrent use.
type Relays struct {
	context context.Context
	node    string
	zone    string
	places  place.Map
	log     *log.Logger
	// onReply is called with each reply of a replica. onReconnect is called when requests should be
	// retried: when a relay connects, since earlier requests may be lost, and on the first reply
	// while no relay is proven. Both are set before first use.
	onReply     func(RelayReply)
	onReconnect func()
	// onRequest is called for each request sent to a relay.
	onRequest func()
	traffic   *traffic.Counter

	mu       sync.Mutex
	nodes    map[string]replicaset.Node
	selector *relaySelector
	links    map[string]*relayLink
	// probedAt is when a request for each replica was last sent while no relay was proven. Until
	// one is proven, only one request per replica and timeout is sent as a probe.
	probedAt map[string]time.Time
}

// NewRelays returns the relays of the named gateway. onRequest is called for each request sent to a
// relay.
func NewRelays(ctx context.Context, node, zone string, places place.Map, logger *log.Logger, onRequest func()) *Relays {
	return &Relays{
		context: ctx, node: node, zone: zone, places: places, log: logger, onRequest: onRequest,
		onReply: func(RelayReply) {}, onReconnect: func() {},
		nodes: map[string]replicaset.Node{}, selector: newRelaySelector(), links: map[string]*relayLink{},
		probedAt: map[string]time.Time{},
	}
}

// relayLink is the connection to one relay.
type relayLink struct {
	relays *Relays
	node   replicaset.Node
	link   *peer.Link[RelayRequest, RelayReply]
	// idleTimer closes the connection after relayIdleTimeout without use.
	idleTimer *time.Timer
	// silence measures how long requests have been without a reply.
	silence peer.SilenceDetector
}

// SetGateways replaces the known gateways by those that the registry lists.
func (r *Relays) SetGateways(nodes map[string]replicaset.Node) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nodes = nodes
	names := r.candidates(nodes)
	slices.SortFunc(names, func(a, b string) int {
		if byDistance := cmp.Compare(r.distance(a), r.distance(b)); byDistance != 0 {
			return byDistance
		}
		return cmp.Compare(a, b)
	})
	r.selector.setCandidates(names)
	for name, link := range r.links {
		if node, listed := nodes[name]; !listed || node.Address != link.node.Address {
			r.close(name)
		}
	}
}

// candidates returns the gateways that may relay: the others of the own region, or those of all
// regions if there is none. The own region is preferred because requests carry the text of turns
// and the round trip to another region is long. The caller holds the lock.
func (r *Relays) candidates(nodes map[string]replicaset.Node) []string {
	var sameRegion, otherRegions []string
	for name, node := range nodes {
		switch {
		case name == r.node || node.Leaving:
		case r.distance(name) == place.OtherRegion:
			otherRegions = append(otherRegions, name)
		default:
			sameRegion = append(sameRegion, name)
		}
	}
	if len(sameRegion) == 0 {
		return otherRegions
	}
	return sameRegion
}

func (r *Relays) distance(name string) place.Distance {
	return r.places.Distance(r.nodes[name].Zone, r.zone)
}

// send sends a request to one or more relays. Delivery is not guaranteed; the caller retries
// requests that are not answered. timeout is how long a relay may take to reply.
func (r *Relays) send(request RelayRequest, timeout time.Duration) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.selector.proven() == "" {
		if now.Sub(r.probedAt[request.Replica]) < timeout {
			return
		}
		r.probedAt[request.Replica] = now
	}
	for _, name := range r.selector.pick(now, timeout) {
		r.closeIfSilent(now, name)
		link := r.open(name)
		link.idleTimer.Reset(relayIdleTimeout)
		link.silence.RequestSent(now)
		r.selector.recordRequest(now, name)
		link.link.Send(request)
		r.onRequest()
	}
}

// open returns the connection to a relay and opens it if necessary. The caller holds the lock.
func (r *Relays) open(name string) *relayLink {
	if link := r.links[name]; link != nil {
		return link
	}
	link := &relayLink{relays: r, node: r.nodes[name]}
	link.idleTimer = time.AfterFunc(relayIdleTimeout, func() {
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

// closeIfSilent closes a connection on which the relay has not replied for peer.AnswerTimeout. The
// caller holds the lock.
func (r *Relays) closeIfSilent(now time.Time, name string) {
	link := r.links[name]
	if link == nil || !link.silence.TimedOut(now) {
		return
	}
	r.log.Warn().Str("event", "connection_silent").Str("peer", name).Msg("")
	r.close(name)
}

// close closes the connection to a relay. The caller holds the lock.
func (r *Relays) close(name string) {
	link := r.links[name]
	link.idleTimer.Stop()
	link.link.CloseAsync()
	delete(r.links, name)
	r.log.Info().Str("event", "relay_closed").Str("gateway", name).Msg("")
}

// Sent implements peer.SentCounter.
func (l *relayLink) Sent(_ net.Addr, _ RelayRequest, bytes int) {
	l.relays.traffic.AddSentToZone("relay", l.node.Zone, bytes)
}

// LinkUp implements peer.Handler.
func (l *relayLink) LinkUp() { l.relays.onReconnect() }

// LinkDown implements peer.Handler.
func (l *relayLink) LinkDown(error) {
	r := l.relays
	r.mu.Lock()
	defer r.mu.Unlock()
	r.selector.recordFailure(time.Now(), l.node.Name)
}

// Received implements peer.Handler.
func (l *relayLink) Received(reply RelayReply) {
	r := l.relays
	r.mu.Lock()
	l.silence.Reset()
	r.mu.Unlock()
	if reply.Unreachable {
		r.mu.Lock()
		r.selector.recordUnreachable(time.Now(), l.node.Name)
		r.mu.Unlock()
		return
	}
	r.mu.Lock()
	firstReply := r.selector.proven() == ""
	r.selector.recordReply(time.Now(), l.node.Name)
	r.mu.Unlock()
	r.onReply(reply)
	if firstReply {
		r.onReconnect() // pending operations can now use the relay
	}
}
