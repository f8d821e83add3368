package ledger

// HandoverPosition is how far the charges of a replica were handed over.
type HandoverPosition struct {
	// Boot tells one run of the replica's process from others; positions are only comparable
	// within a run.
	Boot string
	// Position is behind the last charge that was handed over.
	Position int
}

// Handover is what a reply to an Adopt says of the charges in it.
type Handover struct {
	// After and Next are the places before and behind the reply's charges.
	After, Next HandoverPosition
	// More is set when there are further charges behind Next.
	More bool
}

// Advance returns how far the charges are known once the reply is merged, and whether that
// is all of them. A reply that begins behind the known place has a gap before it.
func (p HandoverPosition) Advance(reply Handover) (next HandoverPosition, complete bool) {
	if reply.After.Boot != reply.Next.Boot || reply.After.Boot == p.Boot && reply.After.Position > p.Position {
		return p, false
	}
	if reply.After.Boot != p.Boot && reply.After.Position > 0 {
		return p, false
	}
	if reply.Next.Boot == p.Boot && reply.Next.Position < p.Position {
		return p, false // an older reply, which was late
	}
	return reply.Next, !reply.More
}

// changedCharge is one entry of the order in which charges changed.
type changedCharge struct {
	program, turn string
	final         bool
}

// chargeOrder is the order in which the charges of a replica changed. Each replica that is to
// have all of them reads it from where it left off, whichever epoch that is for: read again for
// each epoch, it would fill the link between regions.
type chargeOrder struct {
	changed []changedCharge
	// base counts the entries that were dropped.
	base int
}

func (o *chargeOrder) add(program string, charge Charge) {
	o.changed = append(o.changed, changedCharge{program: program, turn: charge.Turn, final: charge.Final})
}

// current returns the charge of an entry, unless it changed again later or is gone.
func (s *State) current(entry changedCharge) (ProgramCharge, bool) {
	known := s.programs[entry.program]
	if known == nil {
		return ProgramCharge{}, false
	}
	index := known.indexOf(entry.turn)
	if index < 0 || known.charges[index].Final != entry.final {
		return ProgramCharge{}, false
	}
	charge := known.charges[index]
	charge.Cached = CachedPrompt{} // a hint, which the other replicas give as well
	return ProgramCharge{Program: entry.program, Charge: charge, Retention: known.retention}, true
}

// handOver returns at most so many charges behind a place.
func (s *State) handOver(after HandoverPosition, most int) ([]ProgramCharge, Handover) {
	if after.Boot != s.boot {
		after = HandoverPosition{Boot: s.boot}
	}
	next := max(0, after.Position-s.chargeOrder.base)
	var charges []ProgramCharge
	for ; next < len(s.chargeOrder.changed) && len(charges) < most; next++ {
		if charge, holds := s.current(s.chargeOrder.changed[next]); holds {
			charges = append(charges, charge)
		}
	}
	end := HandoverPosition{Boot: s.boot, Position: s.chargeOrder.base + next}
	return charges, Handover{After: after, Next: end, More: next < len(s.chargeOrder.changed)}
}

// purgeChargeOrder drops the oldest entries that no longer hold.
func (s *State) purgeChargeOrder() {
	for len(s.chargeOrder.changed) > 0 {
		if _, holds := s.current(s.chargeOrder.changed[0]); holds {
			return
		}
		s.chargeOrder.changed = s.chargeOrder.changed[1:]
		s.chargeOrder.base++
	}
}
