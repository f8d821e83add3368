package gateway

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"swiftbank.dev/swiftbank/internal/learned"
	"swiftbank.dev/swiftbank/internal/place"
	"swiftbank.dev/swiftbank/internal/replicaset"
	"swiftbank.dev/swiftbank/internal/wait"
)

const (
	// restoreInterval is the pause between two requests for the state learned before this gateway
	// started; restoreTimeout is how long it keeps asking.
	restoreInterval = 100 * time.Millisecond
	restoreTimeout  = 3 * time.Second
	// cacheInterval is how often a gateway that reports for its zone sends a replica what the
	// zone's gateways learned.
	cacheInterval = 2 * time.Second
)

// persistentSection is a section whose figures survive a restart of all gateways.
type persistentSection interface {
	reportSection
	// snapshot returns what the own zone's gateways learned, encoded, or nil if that is nothing.
	snapshot(now time.Time) []byte
	// restore applies a snapshot of the given age, taken by any gateway of the zone.
	restore(now time.Time, age time.Duration, figures []byte)
}

// learnedCaches are the replicas that store what gateways learned for those that start later.
type learnedCaches struct {
	log *log.Logger

	mu        sync.Mutex
	addresses rotation
	// firstReplicaAt is when the first replica became known.
	firstReplicaAt time.Time
	// restoring is set until an answer was received or restoreTimeout has passed.
	restoring bool
}

// EnableLearnedCache makes replicas store what gateways learn. It must be called before Run.
func (g *Gossip) EnableLearnedCache(log *log.Logger) {
	g.caches = &learnedCaches{log: log, restoring: true}
}

// SetReplicas replaces the known replicas. The nearest ones store what is learned here.
func (g *Gossip) SetReplicas(nodes map[string]replicaset.Node) {
	if g.caches == nil {
		return
	}
	byDistance := map[place.Distance][]net.Addr{}
	for _, name := range slices.Sorted(maps.Keys(nodes)) {
		if address, err := net.ResolveUDPAddr("udp", nodes[name].Address); err == nil {
			distance := g.places.Distance(g.zone, nodes[name].Zone)
			byDistance[distance] = append(byDistance[distance], address)
		}
	}
	g.caches.mu.Lock()
	defer g.caches.mu.Unlock()
	g.caches.addresses.addresses = nil
	if len(byDistance) > 0 {
		g.caches.addresses.addresses = byDistance[slices.Min(slices.Collect(maps.Keys(byDistance)))]
	}
}

// runCaches requests what was learned before, then sends what is learned, until the context ends.
func (g *Gossip) runCaches(ctx context.Context, socket net.PacketConn) {
	for wait.For(ctx, g.caches.interval()) {
		now := time.Now()
		switch {
		case !g.caches.hasReplicas(now): // wait for a replica
		case g.caches.shouldRestore(now):
			g.sendLearned(socket, learned.Message{Zone: g.zone})
		case g.isZoneReporter():
			if sections := g.snapshotSections(now); len(sections) > 0 {
				g.sendLearned(socket, learned.Message{Zone: g.zone, Sections: sections})
			}
		}
	}
}

// interval returns the pause before the next message.
func (c *learnedCaches) interval() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.restoring {
		return restoreInterval
	}
	return cacheInterval
}

// hasReplicas reports whether any replicas are known.
func (c *learnedCaches) hasReplicas(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.addresses.addresses) == 0 {
		return false
	}
	if c.firstReplicaAt.IsZero() {
		c.firstReplicaAt = now
	}
	return true
}

// shouldRestore reports whether to request what was learned before. It gives up, and logs that,
// once restoreTimeout has passed.
func (c *learnedCaches) shouldRestore(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.restoring && now.Sub(c.firstReplicaAt) > restoreTimeout {
		c.restoring = false
		c.log.Info().Str("event", "learned_recalled").Bool("found", false).Msg("")
	}
	return c.restoring
}

// isZoneReporter reports whether this gateway sends replicas what its zone learned.
func (g *Gossip) isZoneReporter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.reportsZone
}

// snapshotSections returns the snapshots of the persistent sections by name.
func (g *Gossip) snapshotSections(now time.Time) map[string][]byte {
	snapshots := map[string][]byte{}
	for _, section := range g.sections {
		if persistent, ok := section.(persistentSection); ok {
			if figures := persistent.snapshot(now); len(figures) > 0 {
				snapshots[section.name()] = figures
			}
		}
	}
	return snapshots
}

// sendLearned sends a message to the next cache.
func (g *Gossip) sendLearned(socket net.PacketConn, message learned.Message) {
	g.caches.mu.Lock()
	next := g.caches.addresses.nextAddresses(1)
	g.caches.mu.Unlock()
	encoded, err := learned.Encode(message)
	for _, cache := range next {
		if err == nil {
			_, err = socket.WriteTo(encoded, cache)
		}
		if err != nil {
			g.caches.log.Warn().Str("event", "learned_send_failed").Str("peer", cache.String()).Err(err).Msg("")
			continue
		}
		g.traffic.SentTo("learned", cache, len(encoded))
	}
}

// restoreLearned applies the first answer of a cache to the sections; later ones are ignored.
func (g *Gossip) restoreLearned(now time.Time, message learned.Message) {
	if g.caches == nil || message.Zone != g.zone || len(message.Sections) == 0 {
		return
	}
	g.caches.mu.Lock()
	asking := g.caches.restoring
	g.caches.restoring = false
	g.caches.mu.Unlock()
	if !asking {
		return
	}
	g.caches.log.Info().Str("event", "learned_recalled").Bool("found", true).Dur("age", message.Age).
		Strs("sections", slices.Sorted(maps.Keys(message.Sections))).Msg("")
	for _, section := range g.sections {
		if persistent, ok := section.(persistentSection); ok && len(message.Sections[section.name()]) > 0 {
			persistent.restore(now, message.Age, message.Sections[section.name()])
		}
	}
}
