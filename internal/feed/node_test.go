package feed

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"io"
	"net"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/backend"
	"swiftbank.dev/swiftbank/internal/replicaset"
	"swiftbank.dev/swiftbank/internal/route"
)

func discardLogger() *log.Logger { return &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}} }

// memoryStore is an in-memory Store that can be made to fail.
type memoryStore struct {
	mu      sync.Mutex
	failing bool
	lists   int
	content map[Kind][]Record
	at      uint64
	changed chan struct{}
}

func newMemoryStore() *memoryStore {
	return &memoryStore{content: map[Kind][]Record{}, at: 1, changed: make(chan struct{})}
}

var errStoreDown = errors.New("store unavailable")

func (s *memoryStore) List(_ context.Context, kind Kind) ([]Record, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	if s.failing {
		return nil, 0, errStoreDown
	}
	return s.content[kind], s.at, nil
}

func (s *memoryStore) Watch(ctx context.Context, kind Kind, after uint64, wait time.Duration, _ bool) ([]Record, uint64, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for last := wait == 0; ; {
		s.mu.Lock()
		var records []Record
		for _, record := range s.content[kind] {
			if record.Revision > after {
				records = append(records, record)
			}
		}
		failing, at, changed := s.failing, s.at, s.changed
		s.mu.Unlock()
		if failing {
			return nil, 0, errStoreDown
		}
		if len(records) > 0 || last {
			return records, at, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			last = true
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

// put adds or replaces a record.
func (s *memoryStore) put(kind Kind, record Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at++
	record.Revision = s.at
	var rest []Record
	for _, other := range s.content[kind] {
		if other.Name != record.Name {
			rest = append(rest, other)
		}
	}
	s.content[kind] = append(rest, record)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *memoryStore) fail(failing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failing = failing
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *memoryStore) putConfiguration(version uint64) {
	s.put(Configurations, Record{Name: "main", Configuration: ConfigurationOf(newTable(version))})
}

func newTable(version uint64) *route.Table {
	routes := []*route.Route{
		{Name: "a", Host: "one.test", Prefix: "/a/", Kind: route.Safe, Timeout: time.Second, Targets: []route.Target{{Service: "apps", Weight: 1}}},
		{Name: "b", Host: "one.test", Prefix: "/a/b/", Kind: route.Streaming, Retained: true, Targets: []route.Target{{Service: "llm", Weight: 1}}},
	}
	return route.NewTable(version, routes, []route.Service{{Name: "apps"}, {Name: "llm", Generates: true, TokensPerEvent: 9}}, route.Limits{BodyBytes: 100})
}

// testNode is a running Node and what its handlers received.
type testNode struct {
	*Node
	address string
	stop    context.CancelFunc

	mu        sync.Mutex
	table     *route.Table
	instances map[string]backend.Instance
	statuses  []Status
}

// apply applies changes to the list of instances.
func (n *testNode) apply(changes backend.Changes) {
	if changes.Snapshot {
		n.instances = map[string]backend.Instance{}
	}
	for _, instance := range changes.Listed {
		n.instances[instance.ID] = instance
	}
	for _, id := range changes.Removed {
		delete(n.instances, id)
	}
}

func (n *testNode) withLock(do func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	do()
}

// startNode runs a node that serves polls on a loopback address.
func startNode(t *testing.T, options Options, batches []Batch) *testNode {
	n := &testNode{}
	options.Log = discardLogger()
	options.Handlers = Handlers{
		Configuration: func(table *route.Table) { n.withLock(func() { n.table = table }) },
		Instances:     func(changes backend.Changes, _ bool) { n.withLock(func() { n.apply(changes) }) },
		Status:        func(status Status) { n.withLock(func() { n.statuses = append(n.statuses, status) }) },
	}
	n.Node = NewNode(options)
	n.Load(batches)
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	n.address = socket.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	var running sync.WaitGroup
	running.Go(func() { n.serve(ctx, socket) })
	running.Go(func() { n.Run(ctx) })
	t.Cleanup(func() { cancel(); running.Wait() })
	return n
}

func (n *testNode) awaitVersion(t *testing.T, version uint64) {
	t.Helper()
	require.Eventually(t, func() bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.table != nil && n.table.Version == version
	}, 30*time.Second, 5*time.Millisecond)
}

// awaitInstances waits for the first list of instances. It arrives in a separate handler call
// and, from a replica that is still reading, in a later reply than the configuration.
func (n *testNode) awaitInstances(t *testing.T) {
	t.Helper()
	require.Eventually(t, func() bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		return len(n.instances) > 0
	}, 30*time.Second, 5*time.Millisecond)
}

// awaitFresh waits until the data is fresh: the replica reads each kind separately, and reports
// confirmed data once it has all of them.
func (n *testNode) awaitFresh(t *testing.T) {
	t.Helper()
	require.Eventually(t, func() bool { return n.Status().Fresh() }, 30*time.Second, 5*time.Millisecond)
}

func TestGatewayFollowsReplicaWithoutReadingStore(t *testing.T) {
	store, untouched := newMemoryStore(), newMemoryStore()
	store.putConfiguration(7)
	store.put(Instances, instance("i-1", 0))
	replica := startNode(t, Options{Node: "r", Zone: "z", Role: replicaset.RoleReplica, Store: store}, nil)
	replica.awaitFresh(t)
	gateway := startNode(t, Options{Node: "g", Zone: "z", Role: replicaset.RoleGateway, FirstStart: true, Seeds: []string{replica.address}, Store: untouched}, nil)
	gateway.awaitVersion(t, 7)
	gateway.awaitInstances(t)
	gateway.withLock(func() {
		require.Equal(t, "b", gateway.table.Match("one.test", "/a/b/c").Name)
		require.True(t, gateway.table.Services["llm"].Generates)
		require.Equal(t, int64(100), gateway.table.Limits.BodyBytes)
		require.Len(t, gateway.instances, 1)
	})
	store.putConfiguration(8)
	gateway.awaitVersion(t, 8)
	gateway.awaitFresh(t)
	require.Zero(t, untouched.lists)
}

// While the store is unavailable all processes start: they serve from the copy on a replica's
// disk, which is not confirmed until the store answers.
func TestGatewayStartsFromReplicaCopy(t *testing.T) {
	folder := t.TempDir()
	store := newMemoryStore()
	store.putConfiguration(7)
	store.put(Instances, instance("i-1", 0))
	before := startNode(t, Options{Node: "r", Zone: "z", Role: replicaset.RoleReplica, Store: store}, nil)
	before.awaitVersion(t, 7)
	require.Eventually(t, func() bool { return before.Positions().Complete(kindsToRead(false)) }, 30*time.Second, 5*time.Millisecond)
	_, err := NewCopyFile(folder, discardLogger()).save(before.Snapshot())
	require.NoError(t, err)

	store.fail(true)
	replica := startNode(t, Options{Node: "r", Zone: "z", Role: replicaset.RoleReplica, Store: store}, NewCopyFile(folder, discardLogger()).Load())
	gateway := startNode(t, Options{Node: "g", Zone: "z", Role: replicaset.RoleGateway, Seeds: []string{replica.address}, Store: store}, nil)
	gateway.awaitVersion(t, 7)
	require.False(t, gateway.Status().Confirmed)
	store.fail(false)
	require.Eventually(t, func() bool { return gateway.Status().Fresh() }, 30*time.Second, 5*time.Millisecond)
	gateway.withLock(func() { require.True(t, gateway.statuses[len(gateway.statuses)-1].Confirmed) })
}

// One seed refuses connections and one accepts them but never replies.
func TestGatewayStartsWithOneWorkingSeed(t *testing.T) {
	store, untouched := newMemoryStore(), newMemoryStore()
	store.putConfiguration(7)
	replica := startNode(t, Options{Node: "r", Zone: "z", Role: replicaset.RoleReplica, Store: store}, nil)
	replica.awaitVersion(t, 7)
	gone, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, gone.Close())
	frozen, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = frozen.Close() })
	for range 3 { // whichever of them accepts first
		seeds := []string{frozen.Addr().String(), gone.Addr().String(), replica.address}
		gateway := startNode(t, Options{Node: "g", Zone: "z", Role: replicaset.RoleGateway, Seeds: seeds, Store: untouched}, nil)
		gateway.awaitVersion(t, 7)
	}
}

func TestGatewayReadsStoreWhenUpstreamStops(t *testing.T) {
	store := newMemoryStore()
	store.putConfiguration(7)
	replica := startNode(t, Options{Node: "r", Zone: "z", Role: replicaset.RoleReplica, Store: store}, nil)
	gateway := startNode(t, Options{Node: "g", Zone: "z", Role: replicaset.RoleGateway, Seeds: []string{replica.address}, Store: store}, nil)
	gateway.awaitVersion(t, 7)
	replica.stop()
	store.putConfiguration(8)
	gateway.awaitVersion(t, 8)
}

// A replica with older data than its follower, for example after a restart from an old copy,
// does not revert the follower.
func TestOutdatedUpstreamDoesNotRevertGateway(t *testing.T) {
	store := newMemoryStore()
	store.putConfiguration(7)
	first := startNode(t, Options{Node: "r1", Zone: "z", Role: replicaset.RoleReplica, Store: store}, nil)
	first.awaitVersion(t, 7)
	require.Eventually(t, func() bool { return first.Positions().Complete(kindsToRead(false)) }, 30*time.Second, 5*time.Millisecond)
	old := first.Snapshot()
	store.putConfiguration(8)
	first.awaitVersion(t, 8)
	away := newMemoryStore()
	away.fail(true)
	second := startNode(t, Options{Node: "r2", Zone: "z", Role: replicaset.RoleReplica, Store: away}, old)
	gateway := startNode(t, Options{Node: "g", Zone: "z", Role: replicaset.RoleGateway, Seeds: []string{first.address, second.address}, Store: away}, nil)
	gateway.awaitVersion(t, 8)
	first.stop()
	require.Eventually(t, func() bool { return !gateway.Status().Fresh() }, 30*time.Second, 5*time.Millisecond)
	gateway.withLock(func() { require.Equal(t, uint64(8), gateway.table.Version) })
}

func TestReadDelay(t *testing.T) {
	restarted, first := readDelay(replicaset.RoleGateway, false), readDelay(replicaset.RoleGateway, true)
	require.Zero(t, restarted(0, 0), "no upstreams")
	require.Equal(t, restartReadDelay, restarted(1, 0), "callers are waiting")
	require.GreaterOrEqual(t, first(1, 0), gatewayReadDelay, "no callers yet")
	for range 100 {
		wait := restarted(5, 300)
		require.GreaterOrEqual(t, wait, gatewayReadDelay, "it already has data to serve from")
		require.Less(t, wait, gatewayReadDelay+gatewayReadSpread+300*processReadSpread)
	}
	require.Equal(t, 2*replicaReadDelay, readDelay(replicaset.RoleReplica, false)(2, 300))
}

func TestCopyFileRoundTrip(t *testing.T) {
	folder := t.TempDir()
	copyFile := NewCopyFile(folder, discardLogger())
	batches := []Batch{snapshotAt(10, instance("a", 5), instance("b", 9))}
	_, err := copyFile.save(batches)
	require.NoError(t, err)
	require.Equal(t, batches, NewCopyFile(folder, discardLogger()).Load())
	_, err = NewCopyFile(folder, discardLogger()).save([]Batch{snapshotAt(11)})
	require.NoError(t, err)
}

func TestCopyFileIgnoresTruncatedFile(t *testing.T) {
	folder := t.TempDir()
	_, err := NewCopyFile(folder, discardLogger()).save([]Batch{snapshotAt(10, instance("a", 5))})
	require.NoError(t, err)
	path := filepath.Join(folder, copyName)
	content, err := os.ReadFile(path)
	require.NoError(t, err)
	for _, length := range []int{0, 1, len(content) / 2, len(content) - 1} {
		require.NoError(t, os.WriteFile(path, content[:length], 0o600))
		require.Empty(t, NewCopyFile(folder, discardLogger()).Load())
	}
}

// When all entries have expired the copy keeps the last list at its own revision, because an
// empty list is of no use to a starting process.
func TestCopyFileKeepsLastInstances(t *testing.T) {
	folder := t.TempDir()
	copyFile := NewCopyFile(folder, discardLogger())
	_, err := copyFile.save([]Batch{snapshotAt(10, instance("a", 5))})
	require.NoError(t, err)
	_, err = copyFile.save([]Batch{snapshotAt(12)})
	require.NoError(t, err)
	reopened := NewCopyFile(folder, discardLogger())
	require.Equal(t, []Batch{snapshotAt(10, instance("a", 5))}, reopened.Load())
	_, err = reopened.save([]Batch{snapshotAt(14)})
	require.NoError(t, err)
	require.Equal(t, []Batch{snapshotAt(10, instance("a", 5))}, NewCopyFile(folder, discardLogger()).Load(), "after a restart as well")
}

// FuzzReply decodes and applies replies as a faulty peer may send them.
func FuzzReply(f *testing.F) {
	var seed bytes.Buffer
	reply := Reply{Batches: []Batch{snapshotAt(10, instance("a", 5)), {Kind: Configurations, Snapshot: true, At: 3}}, Status: Status{Confirmed: true}}
	require.NoError(f, gob.NewEncoder(&seed).Encode(reply))
	f.Add(seed.Bytes())
	f.Add([]byte("no message"))
	f.Fuzz(func(_ *testing.T, content []byte) {
		var decoded Reply
		if gob.NewDecoder(bytes.NewReader(content)).Decode(&decoded) != nil {
			return
		}
		core := NewCore[string](CoreOptions{Node: "g", Zone: "z", Role: replicaset.RoleGateway, ReadDelay: readDelay(replicaset.RoleGateway, false)})
		core.Start(begin)
		output := core.HandleReply(begin, Upstream{}, decoded)
		for _, change := range output.Changes {
			Handlers{Configuration: func(*route.Table) {}, Instances: func(backend.Changes, bool) {}}.dispatch(change, false)
		}
	})
}
