package ledger

import (
	"cmp"

	"swiftbank.dev/swiftbank/internal/quarantine"
)

// MergeCharge returns the result of merging a charge with the known one of its turn, and whether
// it differs from the known one. A final charge replaces a reservation; of two charges that are
// both final or both reserved, the larger one is kept. A known origin of the stream is kept.
func MergeCharge(known map[string]Charge, charge Charge) (Charge, bool) {
	old, exists := known[charge.Turn]
	if !exists {
		return charge, true
	}
	return resolveCharge(old, charge)
}

// resolveCharge merges two charges of a turn, and reports whether the result differs from the old
// one. The origin of the stream and the run are merged separately, because either charge may lack them.
func resolveCharge(old, charge Charge) (Charge, bool) {
	kept := old
	replaced := replacesCharge(old, charge)
	if replaced {
		kept = charge
	}
	kept.Origin = mergeOrigin(old.Origin, charge.Origin)
	kept.Run = mergeRun(old.Run, charge.Run)
	return kept, replaced || kept.Origin != old.Origin || kept.Run != old.Run
}

// replacesCharge reports whether a charge replaces the old one of its turn.
func replacesCharge(old, charge Charge) bool {
	if old.Final != charge.Final {
		return charge.Final
	}
	return charge.Tokens > old.Tokens
}

// mergeOrigin returns the record that knows more of the stream's origin, the old one if both know the
// same.
func mergeOrigin(old, other *StreamOrigin) *StreamOrigin {
	if other == nil || old != nil && (old.Version != "" || other.Version == "") {
		return old
	}
	return other
}

// mergeRun returns the run that knows more of its outcome, the old one if both know the same.
func mergeRun(old, other *quarantine.Run) *quarantine.Run {
	if old == nil || other == nil {
		return cmp.Or(old, other)
	}
	if merged, changed := old.Merge(*other); changed {
		return &merged
	}
	return old
}

// indexOf returns the index of a turn's charge, or -1. It searches from the end, because the
// newest turns are looked up most often.
func (p *program) indexOf(turn string) int {
	for index := len(p.charges) - 1; index >= 0; index-- {
		if p.charges[index].Turn == turn {
			return index
		}
	}
	return -1
}

// merge adds a charge and returns the one that is kept, and whether anything changed.
func (p *program) merge(charge Charge) (Charge, bool) {
	index := p.indexOf(charge.Turn)
	if index < 0 {
		p.charges = append(p.charges, charge)
		return charge, true
	}
	merged, changed := resolveCharge(p.charges[index], charge)
	if changed {
		p.charges[index] = merged
	}
	return merged, changed
}
