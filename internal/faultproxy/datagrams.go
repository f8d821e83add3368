package faultproxy

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// DatagramCondition is the condition of the path of datagrams to one process; the zero value forwards all of them
// unchanged. What a process sends takes the paths of the receivers, so a condition affects one direction.
type DatagramCondition struct {
	// Loss and Duplicates are the shares of datagrams that are dropped, and that are delivered twice.
	Loss, Duplicates float64
	// Delay is added to each datagram. Jitter is the most that is added besides, at random, so that datagrams overtake
	// each other.
	Delay, Jitter time.Duration
}

// Lost is the condition in which nothing arrives.
var Lost = DatagramCondition{Loss: 1}

const (
	// maxDatagramBytes is the size of the largest UDP datagram.
	maxDatagramBytes = 64 << 10
	// datagramStream selects the random numbers.
	datagramStream = 1 << 35
)

// Datagrams forwards UDP datagrams to one process. It is safe for concurrent use.
type Datagrams struct {
	listener net.PacketConn
	sender   net.Conn
	running  sync.WaitGroup

	mu        sync.Mutex
	condition DatagramCondition
	random    *rand.Rand
	closed    bool
	dropped   int
}

// NewDatagrams forwards the datagrams that are sent to an address to the target (host:port). The seed determines which of
// them are dropped, delivered twice or delayed.
func NewDatagrams(address, target string, seed uint64) (*Datagrams, error) {
	listener, err := net.ListenPacket("udp", address)
	if err != nil {
		return nil, fmt.Errorf("faultproxy: %w", err)
	}
	sender, err := net.Dial("udp", target)
	if err != nil {
		_ = listener.Close()
		return nil, fmt.Errorf("faultproxy: %w", err)
	}
	d := &Datagrams{listener: listener, sender: sender, random: rand.New(rand.NewPCG(seed, datagramStream))}
	d.running.Go(d.receive)
	return d, nil
}

// Set replaces the condition. Datagrams that are delayed already are delivered.
func (d *Datagrams) Set(condition DatagramCondition) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.condition = condition
}

// Dropped returns the number of datagrams that were dropped.
func (d *Datagrams) Dropped() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.dropped
}

// Close stops forwarding.
func (d *Datagrams) Close() {
	d.mu.Lock()
	d.closed = true
	d.mu.Unlock()
	_ = d.listener.Close()
	d.running.Wait()
	_ = d.sender.Close()
}

func (d *Datagrams) receive() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		size, _, err := d.listener.ReadFrom(buffer)
		if err != nil {
			return
		}
		datagram := append([]byte(nil), buffer[:size]...)
		for _, delay := range d.deliveries() {
			if delay == 0 {
				d.deliver(datagram)
				continue
			}
			time.AfterFunc(delay, func() { d.deliver(datagram) })
		}
	}
}

// deliveries returns the delays after which the next datagram is delivered.
func (d *Datagrams) deliveries() []time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.random.Float64() < d.condition.Loss {
		d.dropped++
		return nil
	}
	delays := []time.Duration{d.nextDelay()}
	if d.random.Float64() < d.condition.Duplicates {
		delays = append(delays, d.nextDelay())
	}
	return delays
}

// nextDelay returns the delay of one delivery. The caller holds the lock.
func (d *Datagrams) nextDelay() time.Duration {
	delay := d.condition.Delay
	if d.condition.Jitter > 0 {
		delay += time.Duration(d.random.Int64N(int64(d.condition.Jitter)))
	}
	return delay
}

// deliver sends a datagram to the target, which need not be there.
func (d *Datagrams) deliver(datagram []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.closed {
		_, _ = d.sender.Write(datagram)
	}
}
