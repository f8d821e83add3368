package quorum

import (
	"context"
	"time"

	"swiftbank.dev/swiftbank/internal/ledger"
)

// Reservation is the result of Reserve: a charge that a quorum has accepted and the requested
// history.
type Reservation struct {
	client    *Client
	number    uint64
	operation *operation
	// OtherTurnTokens is the number of tokens charged to the program's other turns.
	OtherTurnTokens int64
	// History is the text of the requested turn and of all turns before it; Instance is the
	// instance that ran it last.
	History  []byte
	Instance string
	// Cached are the prompts that the program's turns left in the caches of instances.
	Cached []ledger.CachedPrompt
	// Foreign is true if the requested history belongs to another tenant.
	Foreign bool
	// Found is true if a replica returned the history.
	Found bool
	// otherRegions are the reservations of the same charge in other regions.
	otherRegions []*Reservation
}

// Reserve records a reservation at a quorum and reads a history. An empty Program reserves nothing;
// an empty History reads nothing. It returns once a quorum has accepted the reservation, which need
// not be durable yet, and the history was found or is missing on all reachable replicas. It returns
// ErrNoQuorum if the context ends first. The caller must call StopRetrying when it is done with the
// reservation.
func (c *Client) Reserve(ctx context.Context, reserve ledger.Reserve) (*Reservation, error) {
	pending := &operation{
		request:    ledger.Request{Reserve: &reserve},
		votersOnly: true,
	}
	number := c.begin(pending)
	reservation := &Reservation{client: c, number: number, operation: pending}
	timeout := time.NewTimer(c.historyTimeout(pending))
	defer timeout.Stop()
	retry := c.newRetryTimer(maxCallerRetryDelay)
	defer retry.stop()
	for {
		if c.fillIfComplete(reservation, reserve) {
			return reservation, nil
		}
		select {
		case <-pending.changed:
		case <-timeout.C:
			c.handleHistoryTimeout(pending)
			timeout.Reset(c.historyTimeout(pending))
		case <-retry.due():
			c.retry(pending)
			retry.backOff()
		case <-ctx.Done():
			c.end(number)
			return nil, ErrNoQuorum
		}
	}
}

// fillIfComplete fills in the reservation if it is complete and reports whether it is.
func (c *Client) fillIfComplete(reservation *Reservation, reserve ledger.Reserve) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	pending := reservation.operation
	historyResolved := reserve.History == "" || pending.tally.Found || pending.tally.Foreign || c.historyMissingEverywhere(pending)
	if !historyResolved {
		c.askNextIfMissing(pending)
	}
	if !historyResolved || reserve.Program != "" && !pending.tally.Accepted(c.set) {
		return false
	}
	reservation.OtherTurnTokens = pending.tally.OtherTurnTokens(reserve.Charge.Turn)
	reservation.Foreign = pending.tally.Foreign
	reservation.Found = pending.tally.Found
	reservation.History = pending.tally.History
	reservation.Instance = pending.tally.Instance
	reservation.Cached = pending.tally.Cached()
	return true
}

// OtherCharges returns the charges of the program's other turns, by turn, as the replicas have reported
// them so far in all regions where the reservation was made.
func (r *Reservation) OtherCharges() map[string]ledger.Charge {
	known := r.charges()
	for _, other := range r.otherRegions {
		for turn, charge := range other.charges() {
			known[turn], _ = ledger.MergeCharge(known, charge)
		}
	}
	delete(known, r.operation.request.Reserve.Charge.Turn)
	return known
}

// historyMissingEverywhere reports whether all replicas that are connected, being connected or have
// replied through a relay lack the history. The caller holds the lock.
func (c *Client) historyMissingEverywhere(pending *operation) bool {
	reachable := 0
	for _, replica := range c.replicas {
		missing := pending.tally.missing[replica.node.Disk]
		if !replica.up && !replica.opening(time.Now()) && !missing {
			continue
		}
		reachable++
		if !missing {
			return false
		}
	}
	return reachable > 0
}

// Durable waits until the reservation is durable on a quorum and on at least copies disks in each
// region where it was made. It returns ErrNoQuorum if the context ends first.
func (r *Reservation) Durable(ctx context.Context, copies int) error {
	for _, other := range r.otherRegions {
		if err := other.Durable(ctx, copies); err != nil {
			return err
		}
	}
	r.client.ensureFanOut(r.operation, copies)
	return r.client.await(ctx, r.operation, func() bool { return r.operation.tally.DurableWithCopies(r.client.set, copies) })
}

// StopRetrying ends the operation, so that the reservation is no longer resent to replicas that
// were unreachable.
func (r *Reservation) StopRetrying() {
	r.client.end(r.number)
	for _, other := range r.otherRegions {
		other.StopRetrying()
	}
}
