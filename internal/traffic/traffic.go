// Package traffic counts the bytes that a process sends to the product's other processes, by
// kind of message and distance. Traffic between zones and regions is billed, and all traffic
// between two regions shares one link.
package traffic

import (
	"net"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"swiftbank.dev/swiftbank/internal/place"
	"swiftbank.dev/swiftbank/internal/replicaset"
)

// unknownDistance is the distance label for a process whose address is not in the registry.
const unknownDistance = "unknown"

// Counter counts the bytes that one process sends. It is safe for concurrent use; a nil Counter
// counts nothing.
type Counter struct {
	bytes  *prometheus.CounterVec
	zone   string
	places place.Map
	// zones maps the hosts of the registered processes to their zones.
	zones atomic.Pointer[map[string]string]
}

// NewCounter returns the counter of a process in a zone and registers its metric.
func NewCounter(node, zone string, places place.Map, registry *prometheus.Registry) *Counter {
	c := &Counter{zone: zone, places: places}
	c.bytes = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "swiftbank_peer_sent_bytes_total", Help: "Bytes sent to the product's other processes, by kind of message and distance.",
		ConstLabels: prometheus.Labels{"node": node},
	}, []string{"kind", "distance"})
	registry.MustRegister(c.bytes)
	return c
}

// SetMembers updates the addresses and zones of the registered processes.
func (c *Counter) SetMembers(members replicaset.Membership) {
	if c == nil {
		return
	}
	zones := map[string]string{}
	for _, nodes := range []map[string]replicaset.Node{members.Replicas, members.Gateways} {
		for _, node := range nodes {
			if host, _, err := net.SplitHostPort(node.Address); err == nil {
				zones[host] = node.Zone
			}
		}
	}
	c.zones.Store(&zones)
}

// AddSentToZone counts the bytes of a message to a process in a zone.
func (c *Counter) AddSentToZone(kind, zone string, bytes int) {
	if c != nil {
		c.bytes.WithLabelValues(kind, c.places.Distance(c.zone, zone).String()).Add(float64(bytes))
	}
}

// AddSentTo counts the bytes of a message to the process at an address.
func (c *Counter) AddSentTo(kind string, address net.Addr, bytes int) {
	if c == nil {
		return
	}
	if zones := c.zones.Load(); zones != nil {
		host, _, err := net.SplitHostPort(address.String())
		if zone, known := (*zones)[host]; err == nil && known {
			c.AddSentToZone(kind, zone, bytes)
			return
		}
	}
	c.bytes.WithLabelValues(kind, unknownDistance).Add(float64(bytes))
}
