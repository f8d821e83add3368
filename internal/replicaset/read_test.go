package replicaset

import (
	"encoding/json"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/registry"
)

func gatewayObject(t testing.TB, name string, revision uint64, leaving bool) registry.Object {
	content, err := json.Marshal(Node{Name: name, Role: RoleGateway, Address: "10.0.0.1:1", Zone: "a", Leaving: leaving})
	require.NoError(t, err)
	return registry.Object{Name: nodePrefix + name, Revision: revision, Value: content}
}

func gatewayObjects(t testing.TB, nodes int) []registry.Object {
	var objects []registry.Object
	for number := range nodes {
		objects = append(objects, gatewayObject(t, "g"+strconv.Itoa(number), uint64(number+1), false))
	}
	return objects
}

// The cost of one change must not grow with the fleet: decoding all n descriptions on each of n
// changes takes n*n decodings.
func TestChangeDecodesOneDescription(t *testing.T) {
	allocations := func(nodes int) float64 {
		objects, reader := gatewayObjects(t, nodes), NewReader()
		reader.Read(objects)
		revision := uint64(nodes)
		return testing.AllocsPerRun(5, func() {
			revision++
			objects[0] = gatewayObject(t, "g0", revision, revision%2 == 0)
			reader.Read(objects)
		})
	}
	small, large := allocations(100), allocations(1000)
	require.Less(t, large-small, 100.0, "900 more descriptions that did not change")
}

func TestReaderFollowsChanges(t *testing.T) {
	objects, reader := gatewayObjects(t, 3), NewReader()
	require.Len(t, reader.Read(objects).Gateways, 3)
	objects[1] = gatewayObject(t, "g1", 9, true)
	read := reader.Read(objects)
	require.True(t, read.Gateways["g1"].Leaving)
	require.False(t, read.Gateways["g2"].Leaving)
	objects[1] = registry.Object{Name: objects[1].Name, Revision: 10, Value: []byte("{")}
	require.NotContains(t, reader.Read(objects).Gateways, "g1", "the object can no longer be decoded")
	require.Len(t, reader.Read(objects[:1]).Gateways, 1)
	require.Equal(t, NewReader().Read(objects), reader.Read(objects), "objects that were dropped are decoded again")
}
