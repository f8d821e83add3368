package feed

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"swiftbank.dev/swiftbank/internal/wait"
)

const (
	// watchWait is how long the store may hold a watch open. The store allows 30 s.
	watchWait = 29 * time.Second
	// watchTimeoutMargin is added to watchWait for the timeout of the call.
	watchTimeoutMargin = 2 * time.Second
	// listTimeout bounds a list, which may take several calls to the store.
	listTimeout = 2 * time.Second
	// minRetryDelay and maxRetryDelay bound the backoff after a failed call.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
	// lostRetryDelay is the pause after a failed call while the monitor reports the store as
	// lost. The monitor keeps probing for all kinds and wakes every informer on recovery.
	lostRetryDelay = 4 * time.Second
)

// informer lists and watches one kind in the store.
type informer struct {
	store Store
	sink  storeSink
	kind  Kind
	// urgent is set for kinds whose changes must arrive within a second.
	urgent bool
	// pacer delays the next watch so that one answer returns several changes.
	pacer pacer
	// historyExpired is set when the store no longer has the changes after our position, so
	// that the kind must be listed again.
	historyExpired bool
	// caughtUp is set once a list or watch has succeeded.
	caughtUp bool

	// lost is set by the monitor while the store does not answer; wake is signaled to end a
	// pause after a failure early.
	lost atomic.Bool
	wake chan struct{}
	// storeReached is closed by the monitor once the store has answered a probe.
	storeReached <-chan struct{}

	mu sync.Mutex
	// cancel ends the current watch.
	cancel context.CancelFunc
}

// restart ends the current watch, or the pause after a failure, so that a new watch begins at
// once.
func (i *informer) restart() {
	select {
	case i.wake <- struct{}{}:
	default:
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cancel != nil {
		i.cancel()
	}
}

// run lists and watches until the context ends. The records received so far stay in force
// while the store cannot be reached.
func (i *informer) run(ctx context.Context) {
	i.awaitStore(ctx)
	pause := minRetryDelay
	for ctx.Err() == nil {
		err := i.step(ctx)
		switch {
		case err == nil:
			pause = minRetryDelay
			wait.For(ctx, i.pacer.next(time.Now()))
		case errors.Is(err, ErrHistoryExpired):
			i.historyExpired = true
		case errors.Is(err, context.Canceled): // restarted by the monitor
		default:
			i.sink.callFailed(i.kind, err)
			i.pauseAfterFailure(ctx, pause)
			pause = min(2*pause, maxRetryDelay)
		}
	}
}

// awaitStore waits until the store has answered a probe, unless nothing is known of the kind
// yet. When the store is unavailable to all, every process of the fleet begins to read, and one
// cheap probe from each gives the same information as a call for each kind.
func (i *informer) awaitStore(ctx context.Context) {
	if !i.sink.position(i.kind).Known {
		return
	}
	select {
	case <-ctx.Done():
	case <-i.storeReached:
	}
}

// pauseAfterFailure waits before the next call. While the store is lost, calls for four or more
// kinds each second would find out nothing beyond what the monitor's probe does.
func (i *informer) pauseAfterFailure(ctx context.Context, pause time.Duration) {
	if i.lost.Load() {
		pause = lostRetryDelay
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-i.wake:
	}
}

// step lists or watches once and passes the result to the sink.
func (i *informer) step(ctx context.Context) error {
	position := i.sink.position(i.kind)
	if !position.Known || i.historyExpired {
		return i.list(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, watchWait+watchTimeoutMargin)
	defer cancel()
	i.mu.Lock()
	i.cancel = cancel
	i.mu.Unlock()
	maxWait := watchWait
	if !i.caughtUp {
		maxWait = 0 // the data may be old, so get an answer at once
	}
	records, at, err := i.store.Watch(ctx, i.kind, position.At, maxWait, false)
	if err != nil {
		return err
	}
	i.caughtUp = true
	i.sink.applyBatch(Batch{Kind: i.kind, After: position.At, At: at, Records: records, HasVersions: true})
	return nil
}

func (i *informer) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	records, at, err := i.store.List(ctx, i.kind)
	if err != nil {
		return err
	}
	i.historyExpired, i.caughtUp = false, true
	i.sink.applyBatch(Batch{Kind: i.kind, Snapshot: true, At: at, Records: records, HasVersions: true})
	return nil
}
