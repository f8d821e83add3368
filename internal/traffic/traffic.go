// Package traffic counts the bytes that a process sends to the product's other processes, by
// the kind of message and by how far they go: bytes between zones and regions are charged for, and
// a link between regions is shared by all that crosses it.
package traffic

import (
	"net"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"swiftbank.dev/swiftbank/internal/place"
	"swiftbank.dev/swiftbank/internal/replicaset"
)

// unknown is the distance of a process that the registry does not list under its address.
const unknown = "unknown"

// Counter counts what one process sends. It is safe for concurrent use; the nil Counter
// counts nothing.
type Counter struct {
	bytes  *prometheus.CounterVec
	zone   string
	places place.Map
	// zones maps the hosts of the known processes to their zones.
	zones atomic.Pointer[map[string]string]
}

// NewCounter returns the counter of a process in a zone, registered.
func NewCounter(node, zone string, places place.Map, registry *prometheus.Registry) *Counter {
	c := &Counter{zone: zone, places: places}
	c.bytes = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "swiftbank_peer_sent_bytes_total", Help: "Bytes sent to the product's other processes, by kind of message and distance.",
		ConstLabels: prometheus.Labels{"node": node},
	}, []string{"kind", "distance"})
	registry.MustRegister(c.bytes)
	return c
}

// SetMembers tells the counter where the processes are.
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

// AddSentToZone counts a message to a process in a zone.
func (c *Counter) AddSentToZone(kind, zone string, bytes int) {
	if c != nil {
		c.bytes.WithLabelValues(kind, c.places.Distance(c.zone, zone).String()).Add(float64(bytes))
	}
}

// AddSentTo counts a message to the process at an address.
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
	c.bytes.WithLabelValues(kind, unknown).Add(float64(bytes))
}
