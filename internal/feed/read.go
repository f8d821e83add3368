package feed

import (
	"context"
	"time"
)

// runReading reads the store while that is decided, until the context ends.
func (n *Node) runReading(ctx context.Context) {
	for ctx.Err() == nil {
		n.mu.Lock()
		wanted := n.applied.Reading
		reading, stop := context.WithCancel(ctx)
		n.stopRead = stop
		n.mu.Unlock()
		if wanted {
			readStore(reading, n.options.Store, (*storeKnowledge)(n), kindsRead(n.options.Evacuations))
			n.readingEnded()
		}
		stop()
		n.awaitReading(ctx)
	}
}

// awaitReading waits until the store is to be read.
func (n *Node) awaitReading(ctx context.Context) {
	for ctx.Err() == nil {
		n.mu.Lock()
		wanted := n.applied.Reading
		n.mu.Unlock()
		if wanted {
			return
		}
		select {
		case <-ctx.Done():
		case <-n.wakeRead:
		}
	}
}

func (n *Node) readingEnded() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.core.ReadingEnded()
}

// storeKnowledge is the Node as readStore fills it.
type storeKnowledge Node

func (k *storeKnowledge) position(kind Kind) Position {
	return (*Node)(k).Positions()[kind]
}

func (k *storeKnowledge) read(batch Batch) {
	(*Node)(k).step(func(now time.Time) Output[asker] { return k.core.Read(now, batch) })
}

func (k *storeKnowledge) confirmed(kind Kind) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.core.StoreConfirmed(time.Now(), kind)
}

func (k *storeKnowledge) contact(err error) {
	(*Node)(k).step(func(now time.Time) Output[asker] { return k.core.StoreContact(now, err != nil) })
	if k.options.StoreStateChanged != nil {
		k.options.StoreStateChanged(err)
	}
}

func (k *storeKnowledge) callFailed(kind Kind, err error) {
	if k.options.StoreCallFailed != nil {
		k.options.StoreCallFailed(kind.String(), err)
	}
}
