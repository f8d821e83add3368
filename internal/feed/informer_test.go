package feed

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// deadStore answers no call until it is back.
type deadStore struct {
	back  atomic.Bool
	calls atomic.Int64
}

var errDead = errors.New("the store does not answer")

func (s *deadStore) List(context.Context, Kind) ([]Record, uint64, error) {
	s.calls.Add(1)
	if s.back.Load() {
		return nil, 1, nil
	}
	return nil, 0, errDead
}

func (s *deadStore) Watch(ctx context.Context, _ Kind, after uint64, wait time.Duration, stale bool) ([]Record, uint64, error) {
	switch {
	case !s.back.Load():
		s.calls.Add(1)
		return nil, 0, errDead
	case !stale && wait > 0:
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	return nil, after, nil
}

// reading is a process's knowledge that keeps the positions only.
type reading struct {
	mu    sync.Mutex
	at    Positions
	count [kindCount]int
}

func (r *reading) reads(kind Kind) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count[kind]
}

func (r *reading) position(kind Kind) Position {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.at[kind]
}

func (r *reading) read(batch Batch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.at[batch.Kind] = Position{Known: true, At: batch.At}
	r.count[batch.Kind]++
}

func (r *reading) answered(Kind)          {}
func (r *reading) contact(error)          {}
func (r *reading) callFailed(Kind, error) {}

// While the store is away one probe asks for all kinds, and each kind is read as soon as the
// store is back. A process that knows something already asks for nothing else meanwhile.
func TestALostStoreIsAskedSeldomAndReadAtOnce(t *testing.T) {
	for name, c := range map[string]struct {
		known bool
		calls int64
	}{
		"a process that starts":                      {false, 45},
		"a process that took over from its upstream": {true, 15},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				store, known := &deadStore{}, &reading{}
				for kind := range known.at {
					known.at[kind] = Position{Known: c.known, At: 7}
				}
				ended := make(chan struct{})
				go func() {
					readStore(ctx, store, known, Kinds())
					close(ended)
				}()
				<-time.After(10 * time.Second) // on the bubble's clock
				synctest.Wait()
				require.LessOrEqual(t, store.calls.Load(), c.calls, "a probe each 0.8 s, and a try of each unknown kind each 4 s")
				store.back.Store(true)
				<-time.After(probeRetryMost + probeInterval)
				synctest.Wait()
				for _, kind := range Kinds() {
					require.True(t, known.position(kind).Known, kind.String())
					require.Positive(t, known.reads(kind), kind.String())
				}
				cancel()
				<-ended
			})
		})
	}
}
