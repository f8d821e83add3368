package replicaset

import (
	"slices"
	"time"
)

// UnreachableTimeout is how long a voter must be out of reach before it may be taken
// out of the set. Its disk stays a source of records, and it joins again when it
// returns.
const UnreachableTimeout = 2 * time.Second

// absentLimit is how long a voter must be out of reach before it is taken out even where the
// set bears it. Its disk cannot be told from one that is gone for good: as long as it is a
// voter, two more lost disks of five leave too few to agree on anything, it holds its share of
// every tenant's limit, and it is one loss of those that the set bears. Longer than a machine
// takes to start again, and no longer than a successor has to catch up.
const absentLimit = 5 * time.Second

// View is what a replica knows when it decides on the membership.
type View struct {
	// Self is this replica.
	Self Voter
	// Set is the newest set of the own cell.
	Set Set
	// Disks maps each node to the disk it last registered.
	Disks map[string]string
	// Adopted holds the disks that confirmed the set's epoch and whose charges this
	// replica has read since.
	Adopted map[string]bool
	// Unreachable is how long each disk has been out of reach; zero for those in reach.
	Unreachable map[string]time.Duration
	// ReachableFrom is how many other voters in reach said of late that they hear of each disk.
	ReachableFrom map[string]int
	// Tolerate is how many voters may be lost at once.
	Tolerate int
	// Leaving is set once this machine is to be emptied.
	Leaving bool
}

// ChangeKind is what a Change does.
type ChangeKind uint8

// The changes of a membership.
const (
	// None means that there is nothing to do.
	None ChangeKind = iota
	// Wait means that a change is due but may not be made yet.
	Wait
	// Remove takes one voter out.
	Remove
	// Add makes this replica a voter.
	Add
)

// Change is the next step of the membership.
type Change struct {
	Kind ChangeKind
	Next Set
	// Reason is for the log.
	Reason string
}

// Plan returns the next step that this replica may make.
func Plan(view View) Change {
	if view.Set.Has(view.Self.Disk) {
		return planMember(view)
	}
	if view.Leaving {
		return Change{Kind: None}
	}
	return planJoin(view)
}

// planMember lets a leaving voter take itself out, and any voter take out another
// one that weighs the quorum down.
func planMember(view View) Change {
	if view.Leaving {
		if len(view.Set.Voters) == 1 || !adoptedByQuorum(view) {
			return Change{Kind: Wait, Reason: "the epoch is not adopted by a quorum"}
		}
		return Change{Kind: Remove, Next: view.Set.Without(view.Self.Disk), Reason: "this machine is to be emptied"}
	}
	silent, due := silentVoter(view)
	if !due {
		return Change{Kind: None}
	}
	if !adoptedByQuorum(view) {
		return Change{Kind: Wait, Reason: "the epoch is not adopted by a quorum"}
	}
	return Change{Kind: Remove, Next: view.Set.Without(silent.Disk), Reason: "out of reach, and the rest tolerates a loss without it"}
}

// silentVoter returns a voter out of reach that should leave the set: with the
// silent voters in it, the rest could not lose another one; without them, it could.
// Where that gains nothing, a silent voter stays for absentLimit, for it may return before
// others go; after that it leaves as long as a quorum of the rest outnumbers the losses to be
// borne.
func silentVoter(view View) (Voter, bool) {
	var silent []Voter
	for _, voter := range view.Set.Voters {
		if voter != view.Self && view.Unreachable[voter.Disk] >= UnreachableTimeout {
			silent = append(silent, voter)
		}
	}
	if len(silent) == 0 {
		return Voter{}, false
	}
	present := len(view.Set.Voters) - len(silent)
	silent = slices.DeleteFunc(silent, func(voter Voter) bool { return heardByMost(view, voter, present) })
	if len(silent) == 0 {
		return Voter{}, false
	}
	rest := Set{Voters: make([]Voter, present)}
	for _, voter := range silent {
		if view.Unreachable[voter.Disk] >= absentLimit && rest.Quorum() > view.Tolerate {
			return voter, true
		}
	}
	spare := present - view.Tolerate
	return silent[0], spare < view.Set.Quorum() && spare >= rest.Quorum()
}

// heardByMost reports whether more than half of the other voters in reach hear of a voter that this
// one does not: the path between the two is cut, and each would take the other out, join again and
// take it out once more.
func heardByMost(view View, voter Voter, present int) bool {
	return 2*view.ReachableFrom[voter.Disk] > present-1
}

func planJoin(view View) Change {
	if !adoptedByQuorum(view) {
		return Change{Kind: Wait, Reason: "the epoch is not adopted by a quorum"}
	}
	for _, voter := range view.Set.Voters {
		if len(view.Set.Voters) > 1 && lost(view, voter) {
			return Change{Kind: Remove, Next: view.Set.Without(voter.Disk), Reason: "its machine returned with another disk"}
		}
	}
	return Change{Kind: Add, Next: view.Set.With(view.Self), Reason: "caught up"}
}

// lost reports whether a voter's disk is known to be gone for good: its machine
// registered another one.
func lost(view View, voter Voter) bool {
	disk, known := view.Disks[voter.Node]
	return known && disk != voter.Disk
}

// adoptedByQuorum reports whether enough voters adopted the present epoch and
// handed over their charges. Disks that are lost for good cannot answer; when the
// rest is smaller than a quorum, all of the rest must have answered.
func adoptedByQuorum(view View) bool {
	adopted, remaining := 0, 0
	for _, voter := range view.Set.Voters {
		if lost(view, voter) {
			continue
		}
		remaining++
		if view.Adopted[voter.Disk] {
			adopted++
		}
	}
	return adopted >= min(view.Set.Quorum(), remaining)
}
