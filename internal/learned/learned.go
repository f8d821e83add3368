// Package learned keeps what gateways learned for those that start later. A gateway has no disk, so
// after a start of all gateways at once nobody would know what programs ask for and what instances
// bear. Gateways tell a replica of their zone from time to time, and one that starts asks for it.
//
// Figures are kept in memory only, the newest of each zone. What is lost with a replica is told
// again within seconds, and what is never told again is learned anew.
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
	// mostZones bounds the zones of which figures are kept, mostBytes those of one zone.
	mostZones = 64
	mostBytes = 16 << 10
	// datagramBytes bounds one datagram.
	datagramBytes = 60 << 10
)

// Message is what a gateway and a cache tell each other.
type Message struct {
	// Zone is the zone whose gateways learned the figures.
	Zone string
	// Sections holds the figures by feature, encoded; none in a question for them.
	Sections map[string][]byte
	// Age is how long ago a cache was told of the figures.
	Age time.Duration
}

// Datagram is how a message travels. The load reports between gateways have a field of the same
// name, so that gateways need no second socket.
type Datagram struct{ Learned *Message }

// Encode returns a message as a datagram.
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
	zones map[string]kept
}

type kept struct {
	sections map[string][]byte
	at       time.Time
}

// NewCache returns a cache that knows nothing.
func NewCache() *Cache { return &Cache{zones: map[string]kept{}} }

// Receive keeps the figures of a message, or returns the answer to a question. What does not fit
// is left out.
func (c *Cache) Receive(now time.Time, message Message) (answer Message, asked bool) {
	known, exists := c.zones[message.Zone]
	if len(message.Sections) == 0 {
		return Message{Zone: message.Zone, Sections: known.sections, Age: now.Sub(known.at)}, exists
	}
	if message.bytes() <= mostBytes && (exists || len(c.zones) < mostZones) {
		c.zones[message.Zone] = kept{sections: message.Sections, at: now}
	}
	return Message{}, false
}

// Serve keeps figures and answers questions on a UDP address until the context ends.
func (c *Cache) Serve(ctx context.Context, address string, logger *log.Logger, sent *traffic.Counter) error {
	var config net.ListenConfig
	socket, err := config.ListenPacket(ctx, "udp", address)
	if err != nil {
		return fmt.Errorf("learned: %w", err)
	}
	stop := context.AfterFunc(ctx, func() { _ = socket.Close() })
	defer stop()
	buffer := make([]byte, datagramBytes)
	for {
		size, from, err := socket.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		var received Datagram
		if err != nil || gob.NewDecoder(bytes.NewReader(buffer[:size])).Decode(&received) != nil || received.Learned == nil {
			continue // a datagram that is damaged or of another version is as good as lost
		}
		if answer, asked := c.Receive(time.Now(), *received.Learned); asked {
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
