package quorum

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"swiftbank.dev/swiftbank/internal/ledger"
	"swiftbank.dev/swiftbank/internal/quota"
)

// Lenders returns the names of the cell's voters, in the order in which this gateway asks
// them for allowances of a tenant: those that answer directly before others, then the
// nearest. Equals come in an order that differs by tenant, so that one voter does not get all
// requests of a zone.
func (c *Client) Lenders(tenant string) []string {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	type candidate struct {
		name     string
		silent   bool
		distance int
		turn     uint64
	}
	var candidates []candidate
	for _, replica := range c.replicas {
		if replica.node.Disk != "" && c.set.Has(replica.node.Disk) {
			candidates = append(candidates, candidate{
				name: replica.node.Name, silent: !c.responsive(now, replica), distance: c.distance(replica),
				turn: xxhash.Sum64String(replica.node.Name + "/" + tenant),
			})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		if a.silent != b.silent {
			if a.silent {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(a.turn, b.turn))
	})
	names := make([]string, 0, len(candidates))
	for _, found := range candidates {
		names = append(names, found.name)
	}
	return names
}

// Borrow asks one voter for allowances and waits for its answer. It goes by another gateway
// where the direct connection is not responsive.
func (c *Client) Borrow(ctx context.Context, lender string, asked quota.Borrow) (quota.Loan, error) {
	pending := &operation{request: ledger.Request{Borrow: &asked}, only: lender}
	number := c.begin(pending)
	defer c.end(number)
	if err := c.await(ctx, pending, func() bool { return pending.loan != nil }); err != nil {
		return quota.Loan{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return *pending.loan, nil
}
