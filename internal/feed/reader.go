package feed

import (
	"context"
	"errors"
	"time"

	"github.com/sourcegraph/conc"
)

// ErrHistoryExpired says that the store has forgotten the changes after a revision: the kind
// must be listed again.
var ErrHistoryExpired = errors.New("feed: the store has forgotten the history after this revision")

// Store is the operators' shared store.
type Store interface {
	// List returns all objects of a kind and a revision: changes after it come by Watch.
	List(ctx context.Context, kind Kind) (records []Record, at uint64, err error)
	// Watch waits for changes after a revision and returns them with the revision up to
	// which there are no others. A stale one may miss the newest. The error may be
	// ErrHistoryGone.
	Watch(ctx context.Context, kind Kind, after uint64, wait time.Duration, stale bool) (records []Record, at uint64, err error)
}

// knowledge is what a reader fills.
type knowledge interface {
	// position returns up to where all changes of a kind are known.
	position(kind Kind) Position
	// read takes what the store told; confirmed notes that it knows nothing newer of a kind.
	read(batch Batch)
	confirmed(kind Kind)
	// contact notes that the store is lost or reached again.
	contact(err error)
	// callFailed is told of each call that failed.
	callFailed(kind Kind, err error)
}

// readStore lists and watches kinds until the context ends.
func readStore(ctx context.Context, store Store, known knowledge, kinds []Kind) {
	paces := map[Kind]pace{
		Configurations: promptPace, Evacuations: promptPace, Instances: instancePace, Members: memberPace, Retirements: memberPace,
	}
	urgent := map[Kind]bool{Configurations: true, Evacuations: true, Instances: true}
	reached := make(chan struct{})
	watcher := &monitor{store: store, known: known, reached: reached}
	for _, kind := range kinds {
		watcher.informers = append(watcher.informers, &informer{
			store: store, known: known, kind: kind, urgent: urgent[kind], pacer: pacer{pace: paces[kind]}, woken: make(chan struct{}, 1), reached: reached,
		})
	}
	var running conc.WaitGroup
	running.Go(func() { watcher.run(ctx) })
	for _, informer := range watcher.informers {
		running.Go(func() { informer.run(ctx) })
	}
	running.Wait()
}
