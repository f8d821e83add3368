package feed

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// unavailableStore fails all calls until back is set.
type unavailableStore struct {
	back  atomic.Bool
	calls atomic.Int64
}

var errUnavailable = errors.New("store does not answer")

func (s *unavailableStore) List(context.Context, Kind) ([]Record, uint64, error) {
	s.calls.Add(1)
	if s.back.Load() {
		return nil, 1, nil
	}
	return nil, 0, errUnavailable
}

func (s *unavailableStore) Watch(ctx context.Context, _ Kind, after uint64, wait time.Duration, stale bool) ([]Record, uint64, error) {
	switch {
	case !s.back.Load():
		s.calls.Add(1)
		return nil, 0, errUnavailable
	case !stale && wait > 0:
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	return nil, after, nil
}

// positionSink is a storeSink that keeps only positions and the number of batches.
type positionSink struct {
	mu    sync.Mutex
	at    Positions
	count [kindCount]int
}

func (s *positionSink) reads(kind Kind) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.count[kind]
}

func (s *positionSink) position(kind Kind) Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.at[kind]
}

func (s *positionSink) applyBatch(batch Batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at[batch.Kind] = Position{Known: true, At: batch.At}
	s.count[batch.Kind]++
}

func (s *positionSink) confirmKind(Kind)        {}
func (s *positionSink) storeStateChanged(error) {}
func (s *positionSink) callFailed(Kind, error)  {}

// copySink is the storeSink of a process that started with an old copy. It checks the status
// after each event.
type copySink struct {
	core *Core[string]
	// violations counts the events after which the old copy counts as confirmed.
	violations int
}

func (s *copySink) position(kind Kind) Position { return s.core.Cache().Positions()[kind] }
func (s *copySink) storeStateChanged(error)     {}
func (s *copySink) callFailed(Kind, error)      {}

func (s *copySink) applyBatch(batch Batch) {
	s.core.HandleStoreBatch(time.Now(), batch)
	s.checkConfirmed()
}

func (s *copySink) confirmKind(kind Kind) {
	s.core.StoreConfirmed(time.Now(), kind)
	s.checkConfirmed()
}

func (s *copySink) checkConfirmed() {
	if s.position(Configurations).At < newerRevision && s.core.Status(time.Now()).Confirmed {
		s.violations++
	}
}

const newerRevision = 9

// newerStore has changes of each kind up to newerRevision.
type newerStore struct{}

func (newerStore) List(context.Context, Kind) ([]Record, uint64, error) {
	return nil, newerRevision, nil
}

func (newerStore) Watch(_ context.Context, _ Kind, after uint64, _ time.Duration, _ bool) ([]Record, uint64, error) {
	if after >= newerRevision {
		return nil, after, nil
	}
	return []Record{{Name: "gone", Revision: newerRevision, Deleted: true}}, newerRevision, nil
}

// Data does not count as confirmed while changes that the store reported are not applied yet.
// Otherwise voters would lend and gateways route by an outdated copy.
func TestOldCopyIsNotConfirmedBeforeChangesApply(t *testing.T) {
	sink := &copySink{core: NewCore[string](CoreOptions{ReadDelay: func(int, int) time.Duration { return 0 }})}
	var old []Batch
	for _, kind := range sink.core.reader.kinds {
		old = append(old, Batch{Kind: kind, Snapshot: true, At: 3})
	}
	sink.core.Load(time.Now(), old)
	prober := &monitor{store: newerStore{}, sink: sink}
	var informers []*informer
	for _, kind := range sink.core.reader.kinds {
		informers = append(informers, &informer{store: newerStore{}, sink: sink, kind: kind, wake: make(chan struct{}, 1)})
	}
	slices.Reverse(informers) // the configuration is read last
	for _, reader := range informers {
		require.NoError(t, prober.probe(t.Context(), reader))
		require.False(t, sink.core.Status(time.Now()).Confirmed, reader.kind.String())
	}
	for _, reader := range informers {
		require.NoError(t, reader.step(t.Context()))
	}
	require.True(t, sink.core.Status(time.Now()).Confirmed)
	require.Zero(t, sink.violations)
	for _, reader := range informers {
		require.NoError(t, prober.probe(t.Context(), reader))
	}
	require.True(t, sink.core.Status(time.Now()).Confirmed)
}

// While the store is unavailable a single probe covers all kinds, and each kind is read as soon
// as the store is back. A process that already has data makes no other calls meanwhile.
func TestReadStoreLimitsCallsDuringOutageAndResumesAtOnce(t *testing.T) {
	for name, c := range map[string]struct {
		known bool
		calls int64
	}{
		"starting process":                  {false, 45},
		"process with data of its upstream": {true, 15},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				store, sink := &unavailableStore{}, &positionSink{}
				for kind := range sink.at {
					sink.at[kind] = Position{Known: c.known, At: 7}
				}
				ended := make(chan struct{})
				go func() {
					readStore(ctx, store, sink, Kinds())
					close(ended)
				}()
				<-time.After(10 * time.Second) // on the bubble's clock
				synctest.Wait()
				require.LessOrEqual(t, store.calls.Load(), c.calls, "a probe every 0.8 s, and a call for each unknown kind every 4 s")
				store.back.Store(true)
				<-time.After(maxProbeRetryDelay + probeInterval)
				synctest.Wait()
				for _, kind := range Kinds() {
					require.True(t, sink.position(kind).Known, kind.String())
					require.Positive(t, sink.reads(kind), kind.String())
				}
				cancel()
				<-ended
			})
		})
	}
}
