package quorum

import (
	"context"
	"maps"
	"time"

	"swiftbank.dev/swiftbank/internal/ledger"
)

// ReserveInOtherRegions reserves the charge of an accepted reservation in the program's cells of
// the other regions as well, and sets OtherTurnTokens to the sum over all regions. From then on the
// reservation is durable once it is durable in all of them. It returns ErrNoQuorum immediately if a
// region's cell is known to have no quorum. After an error the charge may be recorded in some
// regions; the caller must settle it in all of them (SettleInOtherRegions).
func (c *Cells) ReserveInOtherRegions(ctx context.Context, r *Reservation, reserve ledger.Reserve) error {
	reserve.History = ""
	others := c.otherRegions(reserve.Program, r.client)
	for _, client := range others {
		if !client.isAvailable(time.Now()) {
			return ErrNoQuorum
		}
	}
	reservations := make([]*Reservation, len(others))
	results := make(chan error, len(others))
	for index, client := range others {
		go func() {
			var err error
			reservations[index], err = client.Reserve(ctx, reserve)
			results <- err
		}()
	}
	var err error
	for range others {
		if reserveErr := <-results; reserveErr != nil {
			err = reserveErr
		}
	}
	for _, reservation := range reservations {
		if reservation != nil {
			r.otherRegions = append(r.otherRegions, reservation)
		}
	}
	if err != nil {
		return err
	}
	charges := []map[string]ledger.Charge{r.charges()}
	for _, reservation := range r.otherRegions {
		charges = append(charges, reservation.charges())
	}
	r.OtherTurnTokens = unionOtherTokens(reserve.Charge.Turn, charges...)
	return nil
}

// SettleInOtherRegions records a final charge in the program's cells of all regions except the
// region of own. It does not wait for the replicas.
func (c *Cells) SettleInOtherRegions(own *Client, commit ledger.Commit) {
	for _, client := range c.otherRegions(commit.Program, own) {
		client.Settle(commit.Program, commit.Charge, commit.Retention)
	}
}

// otherRegions returns the clients of the program's cells in all regions except the region of own.
func (c *Cells) otherRegions(program string, own *Client) []*Client {
	var others []*Client
	for _, client := range c.ForProgramInAllRegions(program) {
		if client != own {
			others = append(others, client)
		}
	}
	return others
}

// charges returns the program's charges that the replicas have reported so far.
func (r *Reservation) charges() map[string]ledger.Charge {
	r.client.mu.Lock()
	defer r.client.mu.Unlock()
	return maps.Clone(r.operation.tally.charges)
}
