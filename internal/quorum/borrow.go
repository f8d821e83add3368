package quorum

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"swiftbank.dev/swiftbank/internal/ledger"
	"swiftbank.dev/swiftbank/internal/place"
	"swiftbank.dev/swiftbank/internal/quota"
)

// Lenders returns the names of the cell's voters in the order in which this gateway asks them for
// allowances of a tenant. Voters that are responsive on the direct connection come first, then the
// nearest. Ties are broken by a hash of voter and tenant, so that one voter does not get all
// requests of a zone.
func (c *Client) Lenders(tenant string) []string {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	type candidate struct {
		name         string
		unresponsive bool
		distance     place.Distance
		tieBreaker   uint64
	}
	var candidates []candidate
	for _, replica := range c.replicas {
		if replica.node.Disk != "" && c.set.Has(replica.node.Disk) {
			candidates = append(candidates, candidate{
				name: replica.node.Name, unresponsive: !c.responsive(now, replica), distance: c.distance(replica),
				tieBreaker: xxhash.Sum64String(replica.node.Name + "/" + tenant),
			})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		if a.unresponsive != b.unresponsive {
			if a.unresponsive {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(a.tieBreaker, b.tieBreaker))
	})
	names := make([]string, 0, len(candidates))
	for _, lender := range candidates {
		names = append(names, lender.name)
	}
	return names
}

// Borrow requests allowances from one voter and waits for the reply. The request goes through a
// relay if the direct connection is not responsive. It returns ErrNoQuorum if the context ends
// first.
func (c *Client) Borrow(ctx context.Context, lender string, borrow quota.Borrow) (quota.Loan, error) {
	pending := &operation{request: ledger.Request{Borrow: &borrow}, onlyReplica: lender}
	number := c.begin(pending)
	defer c.end(number)
	if err := c.await(ctx, pending, func() bool { return pending.loan != nil }); err != nil {
		return quota.Loan{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return *pending.loan, nil
}
