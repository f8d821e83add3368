package quorum

import "swiftbank.dev/swiftbank/internal/ledger"

// A program's budget is split evenly over the regions that have cells. Within its share, a region's
// cell grants turns alone, so that most turns do not wait for another region. Beyond the share, a
// turn is reserved in the program's cell of every region and granted by the union of the charges in
// all of them. docs/design/regions.md proves that the granted turns never exceed the budget in
// total.

// EscrowDecision is the decision of an Escrow on a turn.
type EscrowDecision uint8

// The decisions.
const (
	// Granted means that the turn may run.
	Granted EscrowDecision = iota
	// AskEveryRegion means that the own region's share is too small and the turn must be reserved
	// in every region.
	AskEveryRegion
	// Exhausted means that the remaining budget is too small for the turn.
	Exhausted
)

// String returns the name used in logs and metrics.
func (d EscrowDecision) String() string {
	return [...]string{"granted", "ask_every_region", "exhausted"}[d]
}

// Escrow decides whether a turn fits into its program's budget.
type Escrow struct {
	// Budget is the program's budget and MaxTurnTokens the most that the turn may use of it, in
	// tokens.
	Budget, MaxTurnTokens int64
	// Regions is the number of regions that have cells.
	Regions int
}

// DecideInOwnRegion decides by the tokens charged to the program's other turns in the own region's
// cell. They must be read after the turn was reserved there.
func (e Escrow) DecideInOwnRegion(otherTokens int64) EscrowDecision {
	switch {
	case otherTokens+e.MaxTurnTokens > e.Budget:
		return Exhausted
	case otherTokens+e.MaxTurnTokens <= e.Budget/int64(max(1, e.Regions)):
		return Granted
	default:
		return AskEveryRegion
	}
}

// DecideInAllRegions decides by the tokens charged to the program's other turns in the union of its
// cells in all regions. They must be read after the turn was reserved in each cell.
func (e Escrow) DecideInAllRegions(otherTokens int64) EscrowDecision {
	if otherTokens+e.MaxTurnTokens > e.Budget {
		return Exhausted
	}
	return Granted
}

// unionOtherTokens returns the tokens charged to all turns except one over several cells, counting
// each turn once.
func unionOtherTokens(turn string, cells ...map[string]ledger.Charge) int64 {
	union := map[string]ledger.Charge{}
	for _, charges := range cells {
		for _, charge := range charges {
			if merged, changed := ledger.MergeCharge(union, charge); changed {
				union[charge.Turn] = merged
			}
		}
	}
	return sumOtherTokens(turn, union)
}

func sumOtherTokens(turn string, charges map[string]ledger.Charge) int64 {
	var sum int64
	for _, charge := range charges {
		if charge.Turn != turn {
			sum += charge.Tokens
		}
	}
	return sum
}
