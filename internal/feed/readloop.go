package feed

import (
	"context"
	"time"
)

// runReading reads the store while the applied decision says so, until the context ends.
func (n *Node) runReading(ctx context.Context) {
	for ctx.Err() == nil {
		n.mu.Lock()
		wanted := n.applied.Reading
		reading, stop := context.WithCancel(ctx)
		n.stopRead = stop
		n.mu.Unlock()
		if wanted {
			readStore(reading, n.options.Store, (*nodeSink)(n), kindsToRead(n.options.Evacuations))
			n.readingStopped()
		}
		stop()
		n.awaitReading(ctx)
	}
}

// awaitReading waits until the decision is to read the store.
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

func (n *Node) readingStopped() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.core.ReadingStopped()
}

// nodeSink implements storeSink for a Node.
type nodeSink Node

// position returns the position after which the store is watched. It is unknown, so that the kind is
// listed, while the software versions of instances are missing.
func (k *nodeSink) position(kind Kind) Position {
	request := (*Node)(k).request()
	if kind == Instances && request.LacksVersions {
		return Position{}
	}
	return request.Positions[kind]
}

func (k *nodeSink) applyBatch(batch Batch) {
	(*Node)(k).step(func(now time.Time) Output[pollConnection] { return k.core.HandleStoreBatch(now, batch) })
}

func (k *nodeSink) confirmKind(kind Kind) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.core.StoreConfirmed(time.Now(), kind)
}

func (k *nodeSink) storeStateChanged(err error) {
	(*Node)(k).step(func(now time.Time) Output[pollConnection] { return k.core.SetStoreLost(now, err != nil) })
	if k.options.StoreStateChanged != nil {
		k.options.StoreStateChanged(err)
	}
}

func (k *nodeSink) callFailed(kind Kind, err error) {
	if k.options.StoreCallFailed != nil {
		k.options.StoreCallFailed(kind.String(), err)
	}
}
