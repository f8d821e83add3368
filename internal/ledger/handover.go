package ledger

// HandoverPosition is how far another replica has read a replica's charges.
type HandoverPosition struct {
	// Boot identifies one run of the replica's process; positions are only comparable within
	// a run.
	Boot string
	// Position follows the last charge that was handed over.
	Position int
}

// Handover describes which charges a reply to an Adopt carries.
type Handover struct {
	// After and Next are the positions before the first and after the last charge of the reply.
	After, Next HandoverPosition
	// More is set when further charges follow Next.
	More bool
}

// Advance returns the position that is reached once the charges of the reply are merged, and whether
// all charges have been read by then. A reply that starts after p leaves a gap and is ignored.
func (p HandoverPosition) Advance(reply Handover) (next HandoverPosition, complete bool) {
	if reply.After.Boot != reply.Next.Boot || reply.After.Boot == p.Boot && reply.After.Position > p.Position {
		return p, false
	}
	if reply.After.Boot != p.Boot && reply.After.Position > 0 {
		return p, false
	}
	if reply.Next.Boot == p.Boot && reply.Next.Position < p.Position {
		return p, false // a reply that was overtaken by a newer one
	}
	return reply.Next, !reply.More
}

// changeLogEntry records that a charge was added or changed.
type changeLogEntry struct {
	program, turn string
	final         bool
}

// changeLog lists the charges of a replica in the order in which they changed. A replica that
// reads all of them continues from its last position across epochs: reading them again for each
// epoch would saturate the link between regions.
type changeLog struct {
	entries []changeLogEntry
	// base is the number of entries that were trimmed from the front.
	base int
}

func (o *changeLog) add(program string, charge Charge) {
	o.entries = append(o.entries, changeLogEntry{program: program, turn: charge.Turn, final: charge.Final})
}

// currentCharge returns the charge of an entry, unless a later entry supersedes it or the charge has
// expired.
func (s *State) currentCharge(entry changeLogEntry) (ProgramCharge, bool) {
	existing := s.programs[entry.program]
	if existing == nil {
		return ProgramCharge{}, false
	}
	index := existing.indexOf(entry.turn)
	if index < 0 || existing.charges[index].Final != entry.final {
		return ProgramCharge{}, false
	}
	charge := existing.charges[index]
	charge.Cached = CachedPrompt{} // a placement hint that the other replicas return as well
	return ProgramCharge{Program: entry.program, Charge: charge, Retention: existing.retention}, true
}

// nextCharges returns at most limit charges that follow a position. A position of another run reads
// from the start.
func (s *State) nextCharges(after HandoverPosition, limit int) ([]ProgramCharge, Handover) {
	if after.Boot != s.boot {
		after = HandoverPosition{Boot: s.boot}
	}
	next := max(0, after.Position-s.changeLog.base)
	var charges []ProgramCharge
	for ; next < len(s.changeLog.entries) && len(charges) < limit; next++ {
		if charge, exists := s.currentCharge(s.changeLog.entries[next]); exists {
			charges = append(charges, charge)
		}
	}
	end := HandoverPosition{Boot: s.boot, Position: s.changeLog.base + next}
	return charges, Handover{After: after, Next: end, More: next < len(s.changeLog.entries)}
}

// trimChangeLog drops entries from the front whose charges have changed again or expired.
func (s *State) trimChangeLog() {
	for len(s.changeLog.entries) > 0 {
		if _, exists := s.currentCharge(s.changeLog.entries[0]); exists {
			return
		}
		s.changeLog.entries = s.changeLog.entries[1:]
		s.changeLog.base++
	}
}
