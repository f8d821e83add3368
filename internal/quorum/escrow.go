package quorum

import "swiftbank.dev/swiftbank/internal/ledger"

// A program's budget is split evenly over the regions that have cells. Within its share a
// region's cell grants turns alone, so that on most turns nothing waits for another region.
// Beyond it a turn is reserved in the program's cell of every region, and granted by the
// union of what all of them hold. docs/design/regions.md has the proof that the turns
// granted never exceed the budget together.

// EscrowDecision is the escrow's decision on a turn.
type EscrowDecision uint8

// The grants.
const (
	// Granted: the turn may run.
	Granted EscrowDecision = iota
	// AskEveryRegion: the own region's share does not suffice.
	AskEveryRegion
	// Exhausted: the budget holds no further turn.
	Exhausted
)

// String returns the name used in logs and metrics.
func (g EscrowDecision) String() string {
	return [...]string{"granted", "ask_every_region", "exhausted"}[g]
}

// Escrow decides on one turn of a program.
type Escrow struct {
	// Budget is the program's budget, MaxTurnTokens the most that the turn may use of it, in tokens.
	Budget, MaxTurnTokens int64
	// Regions is how many regions have cells.
	Regions int
}

// DecideInOwnRegion decides by the charges of the program's other turns in the own region's cell,
// read after the turn was reserved there.
func (e Escrow) DecideInOwnRegion(others int64) EscrowDecision {
	switch {
	case others+e.MaxTurnTokens > e.Budget:
		return Exhausted
	case others+e.MaxTurnTokens <= e.Budget/int64(max(1, e.Regions)):
		return Granted
	default:
		return AskEveryRegion
	}
}

// DecideInAllRegions decides by the union of the charges in the program's cells of all regions,
// read after the turn was reserved in each.
func (e Escrow) DecideInAllRegions(others int64) EscrowDecision {
	if others+e.MaxTurnTokens > e.Budget {
		return Exhausted
	}
	return Granted
}

// unionOthers returns the tokens charged by all turns but one, each turn once.
func unionOthers(turn string, cells ...map[string]ledger.Charge) int64 {
	union := map[string]ledger.Charge{}
	for _, charges := range cells {
		for _, charge := range charges {
			if merged, changed := ledger.Merge(union, charge); changed {
				union[charge.Turn] = merged
			}
		}
	}
	return sumOthers(turn, union)
}

func sumOthers(turn string, charges map[string]ledger.Charge) int64 {
	var sum int64
	for _, charge := range charges {
		if charge.Turn != turn {
			sum += charge.Tokens
		}
	}
	return sum
}
