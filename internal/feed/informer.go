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
	// watchWait is how long a watch may wait at the store, which allows 30 s.
	watchWait = 29 * time.Second
	// watchSlack is added before a watch without an answer is given up.
	watchSlack = 2 * time.Second
	// listTimeout bounds a list, which may take several calls.
	listTimeout = 2 * time.Second
	// retryFirst and retryMost bound the pause after a failed call.
	retryFirst = 100 * time.Millisecond
	retryMost  = 800 * time.Millisecond
	// lostRetry is the pause after a failed call while the monitor says that the store does
	// not answer: the monitor asks on for all kinds, and wakes each when it is back.
	lostRetry = 4 * time.Second
)

// informer reads one kind from the store.
type informer struct {
	store Store
	known knowledge
	kind  Kind
	// urgent kinds must be known within a second.
	urgent bool
	// pacer lets several changes come by one answer.
	pacer pacer
	// forgotten is set when the store has forgotten the history after our position.
	forgotten bool
	// confirmed is set once the store has told of all changes so far.
	confirmed bool

	// lost is set while the monitor says that the store does not answer; woken is signalled
	// when a new watch is wanted.
	lost  atomic.Bool
	woken chan struct{}
	// reached is closed once the store has answered the monitor.
	reached <-chan struct{}

	mu sync.Mutex
	// cancel ends the watch under way.
	cancel context.CancelFunc
}

// restart ends the watch under way, or the pause after a failure, so that a new one begins at
// once.
func (i *informer) restart() {
	select {
	case i.woken <- struct{}{}:
	default:
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cancel != nil {
		i.cancel()
	}
}

// run lists and watches until the context ends. What is known stays in force while
// the store cannot be reached.
func (i *informer) run(ctx context.Context) {
	i.awaitStore(ctx)
	pause := retryFirst
	for ctx.Err() == nil {
		err := i.step(ctx)
		switch {
		case err == nil:
			pause = retryFirst
			wait.For(ctx, i.pacer.next(time.Now()))
		case errors.Is(err, ErrHistoryExpired):
			i.forgotten = true
		case errors.Is(err, context.Canceled): // the monitor wants a new watch
		default:
			i.known.callFailed(i.kind, err)
			i.pauseAfterFailure(ctx, pause)
			pause = min(2*pause, retryMost)
		}
	}
}

// awaitStore waits until the store has answered a probe, where something is known already:
// when it is away for all, every process of the fleet begins to read, and one cheap probe of
// each finds out as much as a call for each kind.
func (i *informer) awaitStore(ctx context.Context) {
	if !i.known.position(i.kind).Known {
		return
	}
	select {
	case <-ctx.Done():
	case <-i.reached:
	}
}

// pauseAfterFailure waits until the next call. While the store is lost to this process, calls
// of four kinds and more each second would find out nothing that the monitor's probe does not.
func (i *informer) pauseAfterFailure(ctx context.Context, pause time.Duration) {
	if i.lost.Load() {
		pause = lostRetry
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-i.woken:
	}
}

func (i *informer) step(ctx context.Context) error {
	position := i.known.position(i.kind)
	if !position.Known || i.forgotten {
		return i.list(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
	defer cancel()
	i.mu.Lock()
	i.cancel = cancel
	i.mu.Unlock()
	longest := watchWait
	if !i.confirmed {
		longest = 0 // what is known may be old: the store tells at once whether it is
	}
	records, at, err := i.store.Watch(ctx, i.kind, position.At, longest, false)
	if err != nil {
		return err
	}
	i.confirmed = true
	i.known.read(Batch{Kind: i.kind, After: position.At, At: at, Records: records})
	return nil
}

func (i *informer) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	records, at, err := i.store.List(ctx, i.kind)
	if err != nil {
		return err
	}
	i.forgotten, i.confirmed = false, true
	i.known.read(Batch{Kind: i.kind, Snapshot: true, At: at, Records: records})
	return nil
}
