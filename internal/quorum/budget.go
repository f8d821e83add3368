package quorum

import (
	"context"
	"maps"
	"time"

	"swiftbank.dev/swiftbank/internal/ledger"
)

// ReserveInOtherRegions reserves an accepted reservation's charge in the program's cells of the
// other regions as well, and makes Others the sum over all regions. From then on the
// reservation is durable once it is so in all of them. After an error the charge may be
// recorded in some of them: settle it in all regions (SettleElsewhere). It fails at once if a region's cell is known to have
// no quorum.
func (c *Cells) ReserveInOtherRegions(ctx context.Context, r *Reservation, asked ledger.Reserve) error {
	asked.History = ""
	others := c.otherRegions(asked.Program, r.client)
	for _, client := range others {
		if !client.serves(time.Now()) {
			return ErrNoQuorum
		}
	}
	reservations := make([]*Reservation, len(others))
	failed := make(chan error, len(others))
	for index, client := range others {
		go func() {
			var err error
			reservations[index], err = client.Reserve(ctx, asked)
			failed <- err
		}()
	}
	var err error
	for range others {
		if each := <-failed; each != nil {
			err = each
		}
	}
	for _, reservation := range reservations {
		if reservation != nil {
			r.elsewhere = append(r.elsewhere, reservation)
		}
	}
	if err != nil {
		return err
	}
	charges := []map[string]ledger.Charge{r.charges()}
	for _, reservation := range r.elsewhere {
		charges = append(charges, reservation.charges())
	}
	r.OtherTurnTokens = unionOthers(asked.Charge.Turn, charges...)
	return nil
}

// SettleInOtherRegions records a final charge in the program's cells of the regions other than the
// client's.
func (c *Cells) SettleInOtherRegions(own *Client, settled ledger.Commit) {
	for _, client := range c.otherRegions(settled.Program, own) {
		client.Settle(settled.Program, settled.Charge, settled.Retention)
	}
}

// otherRegions returns the program's cells in the regions other than a client's.
func (c *Cells) otherRegions(program string, own *Client) []*Client {
	var others []*Client
	for _, client := range c.ForProgramInAllRegions(program) {
		if client != own {
			others = append(others, client)
		}
	}
	return others
}

// charges returns what the replicas that answered hold of the program's charges.
func (r *Reservation) charges() map[string]ledger.Charge {
	r.client.mu.Lock()
	defer r.client.mu.Unlock()
	return maps.Clone(r.operation.tally.charges)
}
