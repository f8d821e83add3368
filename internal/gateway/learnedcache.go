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
	// recallInterval is the pause between two questions for what was learned before this gateway
	// started; recallLimit is for how long it asks.
	recallInterval = 100 * time.Millisecond
	recallLimit    = 3 * time.Second
	// cacheInterval is how often a gateway that speaks for its zone tells a replica what the zone's
	// gateways learned.
	cacheInterval = 2 * time.Second
)

// learnedSection is a section whose figures gateways go on with after a start.
type learnedSection interface {
	reportSection
	// lasting returns what the own zone's gateways learned, encoded, nil if that is nothing.
	lasting(now time.Time) []byte
	// recall takes what lasting returned at some gateway so long ago.
	recall(now time.Time, age time.Duration, figures []byte)
}

// learnedCaches are the replicas that keep what gateways learned for those that start later.
type learnedCaches struct {
	log *log.Logger

	mu        sync.Mutex
	addresses rotation
	// knownAt is when the first replica was known.
	knownAt time.Time
	// asking is set until an answer came, or was waited for in vain.
	asking bool
}

// EnableLearnedCache makes replicas keep what gateways learn. It must be called before Run.
func (g *Gossip) EnableLearnedCache(log *log.Logger) {
	g.caches = &learnedCaches{log: log, asking: true}
}

// SetReplicas tells which replicas there are. The nearest ones keep what is learned here.
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

// runCaches asks what was learned before, then tells what is learned, until the context ends.
func (g *Gossip) runCaches(ctx context.Context, socket net.PacketConn) {
	for wait.For(ctx, g.caches.pause()) {
		now := time.Now()
		switch {
		case !g.caches.areKnown(now): // and nobody is asked or told
		case g.caches.asks(now):
			g.sendLearned(socket, learned.Message{Zone: g.zone})
		case g.speaksForZone():
			if sections := g.lastingSections(now); len(sections) > 0 {
				g.sendLearned(socket, learned.Message{Zone: g.zone, Sections: sections})
			}
		}
	}
}

func (c *learnedCaches) pause() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.asking {
		return recallInterval
	}
	return cacheInterval
}

// areKnown reports whether there are replicas.
func (c *learnedCaches) areKnown(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.addresses.addresses) == 0 {
		return false
	}
	if c.knownAt.IsZero() {
		c.knownAt = now
	}
	return true
}

// asks reports whether to ask what was learned before.
func (c *learnedCaches) asks(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.asking && now.Sub(c.knownAt) > recallLimit {
		c.asking = false
		c.log.Info().Str("event", "learned_recalled").Bool("found", false).Msg("")
	}
	return c.asking
}

// speaksForZone reports whether this gateway tells replicas what its zone learned.
func (g *Gossip) speaksForZone() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.speaks
}

func (g *Gossip) lastingSections(now time.Time) map[string][]byte {
	lasting := map[string][]byte{}
	for _, section := range g.sections {
		if kept, lasts := section.(learnedSection); lasts {
			if figures := kept.lasting(now); len(figures) > 0 {
				lasting[section.name()] = figures
			}
		}
	}
	return lasting
}

// sendLearned sends a message to the next cache.
func (g *Gossip) sendLearned(socket net.PacketConn, message learned.Message) {
	g.caches.mu.Lock()
	next := g.caches.addresses.take(1)
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
		g.traffic.AddSentTo("learned", cache, len(encoded))
	}
}

// recall hands what a cache answered to the sections, once.
func (g *Gossip) recall(now time.Time, message learned.Message) {
	if g.caches == nil || message.Zone != g.zone || len(message.Sections) == 0 {
		return
	}
	g.caches.mu.Lock()
	asking := g.caches.asking
	g.caches.asking = false
	g.caches.mu.Unlock()
	if !asking {
		return
	}
	g.caches.log.Info().Str("event", "learned_recalled").Bool("found", true).Dur("age", message.Age).
		Strs("sections", slices.Sorted(maps.Keys(message.Sections))).Msg("")
	for _, section := range g.sections {
		if kept, lasts := section.(learnedSection); lasts && len(message.Sections[section.name()]) > 0 {
			kept.recall(now, message.Age, message.Sections[section.name()])
		}
	}
}
