package traffic

import (
	"net"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"
	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/place"
	"swiftbank.dev/swiftbank/internal/replicaset"
)

func TestBytesAreCountedByKindAndDistance(t *testing.T) {
	places := place.Map{"a": "east", "b": "east", "c": "west"}
	counter := NewCounter("n", "a", places, prometheus.NewRegistry())
	address := func(host string) net.Addr { return &net.TCPAddr{IP: net.ParseIP(host), Port: 40000} }
	counter.AddSentTo("reserve", address("10.0.0.1"), 1)
	counter.SetMembers(replicaset.Membership{
		Replicas: map[string]replicaset.Node{"r": {Address: "10.0.0.1:7000", Zone: "c"}},
		Gateways: map[string]replicaset.Node{"g": {Address: "10.0.0.2:7000", Zone: "b"}, "bad": {Address: "?"}},
	})
	counter.AddSentTo("reserve", address("10.0.0.1"), 10)
	counter.AddSentTo("load", address("10.0.0.2"), 20)
	counter.AddSentToZone("load", "a", 30)
	for label, want := range map[[2]string]float64{
		{"reserve", "unknown"}: 1, {"reserve", "other_region"}: 10, {"load", "region"}: 20, {"load", "zone"}: 30,
	} {
		var counted dto.Metric
		require.NoError(t, counter.bytes.WithLabelValues(label[0], label[1]).Write(&counted))
		require.Equal(t, want, counted.Counter.GetValue(), label)
	}
	var nilCounter *Counter
	nilCounter.SetMembers(replicaset.Membership{})
	nilCounter.AddSentTo("load", address("10.0.0.2"), 1)
	nilCounter.AddSentToZone("load", "a", 1)
}
