// Package learned caches statistics that gateways collect, called figures, for gateways that start
// later. A gateway has no disk, so after a restart of all gateways none would know the demand of
// programs and the capacity of instances. Gateways periodically send their figures to a replica of
// their zone, and a gateway that starts requests them.
//
// The newest figures of each zone are kept in memory only. Figures that are lost with a replica are
// sent again within seconds; figures that no gateway sends again have to be collected again.
package learned

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/phuslu/log"

	"swiftbank.dev/swiftbank/internal/traffic"
)

const (
	// maxZones is the maximum number of zones with figures, maxZoneBytes the maximum size of a zone's
	// figures.
	maxZones     = 64
	maxZoneBytes = 16 << 10
	// maxDatagramBytes is the maximum size of a datagram.
	maxDatagramBytes = 60 << 10
)

// Message is a message between a gateway and a cache: figures to store, a query, or its answer.
type Message struct {
	// Zone is the zone whose gateways collected the figures.
	Zone string
	// Sections holds the encoded figures by feature; it is empty in a query.
	Sections map[string][]byte
	// Age is the time since the cache received the figures.
	Age time.Duration
}

// Datagram is the encoded form of a message. The load reports between gateways have a field of the
// same name, so that gateways need no second socket.
type Datagram struct{ Learned *Message }

// Encode returns a message as an encoded datagram.
func Encode(message Message) ([]byte, error) {
	var encoded bytes.Buffer
	if err := gob.NewEncoder(&encoded).Encode(Datagram{Learned: &message}); err != nil {
		return nil, fmt.Errorf("learned: encoding a message: %w", err)
	}
	return encoded.Bytes(), nil
}

func (m Message) bytes() int {
	total := 0
	for name, figures := range m.Sections {
		total += len(name) + len(figures)
	}
	return total
}

// Cache holds the newest figures of each zone. It is not safe for concurrent use.
type Cache struct {
	zones map[string]entry
}

type entry struct {
	sections   map[string][]byte
	receivedAt time.Time
}

// NewCache returns an empty cache.
func NewCache() *Cache { return &Cache{zones: map[string]entry{}} }

// Receive stores the figures of a message, or returns the answer to a query; answered is false if
// there is none. Figures that exceed the limits are ignored.
func (c *Cache) Receive(now time.Time, message Message) (answer Message, answered bool) {
	known, exists := c.zones[message.Zone]
	if len(message.Sections) == 0 {
		return Message{Zone: message.Zone, Sections: known.sections, Age: now.Sub(known.receivedAt)}, exists
	}
	if message.bytes() <= maxZoneBytes && (exists || len(c.zones) < maxZones) {
		c.zones[message.Zone] = entry{sections: message.Sections, receivedAt: now}
	}
	return Message{}, false
}

// Serve receives figures and answers queries on a UDP address until the context ends.
func (c *Cache) Serve(ctx context.Context, address string, logger *log.Logger, sent *traffic.Counter) error {
	var config net.ListenConfig
	socket, err := config.ListenPacket(ctx, "udp", address)
	if err != nil {
		return fmt.Errorf("learned: %w", err)
	}
	stop := context.AfterFunc(ctx, func() { _ = socket.Close() })
	defer stop()
	buffer := make([]byte, maxDatagramBytes)
	for {
		size, from, err := socket.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		var received Datagram
		if err != nil || gob.NewDecoder(bytes.NewReader(buffer[:size])).Decode(&received) != nil || received.Learned == nil {
			continue // a corrupt datagram, or one of another version, is ignored
		}
		if answer, answered := c.Receive(time.Now(), *received.Learned); answered {
			c.answer(socket, from, answer, logger, sent)
		}
	}
}

func (c *Cache) answer(socket net.PacketConn, to net.Addr, answer Message, logger *log.Logger, sent *traffic.Counter) {
	encoded, err := Encode(answer)
	if err == nil {
		_, err = socket.WriteTo(encoded, to)
	}
	if err != nil {
		logger.Warn().Str("event", "learned_answer_failed").Str("zone", answer.Zone).Str("peer", to.String()).Err(err).Msg("")
		return
	}
	sent.AddSentTo("learned", to, len(encoded))
}
