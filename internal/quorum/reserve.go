package quorum

import (
	"context"
	"time"

	"swiftbank.dev/swiftbank/internal/ledger"
)

// Reservation is an accepted reservation.
type Reservation struct {
	client    *Client
	number    uint64
	operation *operation
	// OtherTurnTokens is what the program's other turns are charged, in tokens.
	OtherTurnTokens int64
	// History is the text of the turn asked for; Instance ran it last.
	History  []byte
	Instance string
	// Cached are the prompts that the program's other turns left at instances.
	Cached []ledger.CachedPrompt
	// Foreign is true when the history asked for is another tenant's.
	Foreign bool
	// Found is false when every replica that answered lacks the history.
	Found bool
	// elsewhere holds the reservations of the same charge in other regions.
	elsewhere []*Reservation
}

// Reserve adds a reservation at a quorum and reads a history. Program "" reserves
// nothing; History "" reads nothing. It returns once a quorum has accepted, though
// not yet synced, and the history is there or found nowhere.
func (c *Client) Reserve(ctx context.Context, asked ledger.Reserve) (*Reservation, error) {
	pending := &operation{
		request:    ledger.Request{Reserve: &asked},
		votersOnly: true,
	}
	number := c.begin(pending)
	reservation := &Reservation{client: c, number: number, operation: pending}
	timeout := time.NewTimer(c.historyTimeout(pending))
	defer timeout.Stop()
	retry := c.newRelayRetry(callerRelayPause)
	defer retry.stop()
	for {
		if c.settled(reservation, asked) {
			return reservation, nil
		}
		select {
		case <-pending.changed:
		case <-timeout.C:
			c.askOneMore(pending)
			timeout.Reset(c.historyTimeout(pending))
		case <-retry.due():
			c.retry(pending)
			retry.again()
		case <-ctx.Done():
			c.end(number)
			return nil, ErrNoQuorum
		}
	}
}

// settled reports whether the reservation is complete, and fills it in.
func (c *Client) settled(reservation *Reservation, asked ledger.Reserve) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	pending := reservation.operation
	known := asked.History == "" || pending.tally.Found || pending.tally.Foreign || c.allMissing(pending)
	if !known {
		c.askWhereMissing(pending)
	}
	if !known || asked.Program != "" && !pending.tally.Accepted(c.set) {
		return false
	}
	reservation.OtherTurnTokens = pending.tally.OtherTurnTokens(asked.Charge.Turn)
	reservation.Foreign = pending.tally.Foreign
	reservation.Found = pending.tally.Found
	reservation.History = pending.tally.History
	reservation.Instance = pending.tally.Instance
	reservation.Cached = pending.tally.Cached()
	return true
}

// allMissing reports whether all connected replicas, and all that answered by another
// gateway, said that they lack the history.
func (c *Client) allMissing(pending *operation) bool {
	asked := 0
	for _, replica := range c.replicas {
		missing := pending.tally.missing[replica.node.Disk]
		if !replica.up && !replica.opening(time.Now()) && !missing {
			continue
		}
		asked++
		if !missing {
			return false
		}
	}
	return asked > 0
}

// Durable waits until the reservation is on the disks of a quorum, and on at least so many
// disks, in each region where it was made.
func (r *Reservation) Durable(ctx context.Context, copies int) error {
	for _, other := range r.elsewhere {
		if err := other.Durable(ctx, copies); err != nil {
			return err
		}
	}
	r.client.askFor(r.operation, copies)
	return r.client.await(ctx, r.operation, func() bool { return r.operation.tally.DurableWithCopies(r.client.set, copies) })
}

// StopRetrying stops repeating the reservation to replicas that were out of reach.
func (r *Reservation) StopRetrying() {
	r.client.end(r.number)
	for _, other := range r.elsewhere {
		other.StopRetrying()
	}
}
