package feed

import (
	"context"
	"errors"
	"time"

	"github.com/sourcegraph/conc"
)

// ErrHistoryExpired is returned by Store.Watch when the store no longer has the changes after
// the revision. The kind must be listed again.
var ErrHistoryExpired = errors.New("feed: the store no longer has the changes after this revision")

// Store is the operators' shared store.
type Store interface {
	// List returns all objects of a kind and the revision from which Watch continues.
	List(ctx context.Context, kind Kind) (records []Record, at uint64, err error)
	// Watch waits for changes after a revision, at most for the given time, and returns them
	// with the revision up to which they are complete. With stale set it may miss the newest
	// changes. It returns ErrHistoryExpired if the store no longer has those changes.
	Watch(ctx context.Context, kind Kind, after uint64, wait time.Duration, stale bool) (records []Record, at uint64, err error)
}

// storeSink receives what readStore reads.
type storeSink interface {
	// position returns the revision up to which all changes of a kind are known.
	position(kind Kind) Position
	// applyBatch applies a batch from the store; confirmKind records that the store has nothing
	// newer of a kind.
	applyBatch(batch Batch)
	confirmKind(kind Kind)
	// storeStateChanged gets an error when the store stops answering and nil when it answers
	// again.
	storeStateChanged(err error)
	// callFailed is called for each failed call.
	callFailed(kind Kind, err error)
}

// readStore lists and watches the kinds until the context ends.
func readStore(ctx context.Context, store Store, sink storeSink, kinds []Kind) {
	paces := map[Kind]pace{
		Configurations: promptPace, Evacuations: promptPace, Instances: instancePace, Members: memberPace, Retirements: memberPace,
	}
	urgent := map[Kind]bool{Configurations: true, Evacuations: true, Instances: true}
	reached := make(chan struct{})
	prober := &monitor{store: store, sink: sink, storeReached: reached}
	for _, kind := range kinds {
		prober.informers = append(prober.informers, &informer{
			store: store, sink: sink, kind: kind, urgent: urgent[kind], pacer: pacer{pace: paces[kind]}, wake: make(chan struct{}, 1), storeReached: reached,
		})
	}
	var running conc.WaitGroup
	running.Go(func() { prober.run(ctx) })
	for _, informer := range prober.informers {
		running.Go(func() { informer.run(ctx) })
	}
	running.Wait()
}
