package replicaset

import (
	"slices"
	"time"
)

// UnreachableTimeout is how long a voter must be unreachable before it may be removed
// from the set. Its disk remains a source of records, and it rejoins when it
// returns.
const UnreachableTimeout = 2 * time.Second

// removalTimeout is how long a voter must be unreachable before it is removed even if the set
// tolerates its absence. Its disk cannot be distinguished from a lost one: while it is a voter, it
// counts as one of the losses that the set tolerates, two more lost disks of five leave no quorum,
// and its share of every tenant's limit is unused. The timeout is longer than the restart of a
// machine, and no longer than a new voter takes to catch up.
const removalTimeout = 5 * time.Second

// View is a replica's knowledge of its cell, from which it plans changes of the membership.
type View struct {
	// Self is this replica.
	Self Voter
	// Set is the newest set of this replica's cell.
	Set Set
	// Disks maps each node to the disk it last registered.
	Disks map[string]string
	// Adopted holds the disks that confirmed the set's epoch and whose charges this
	// replica has read since then.
	Adopted map[string]bool
	// Unreachable is how long each disk has been unreachable; zero for reachable ones.
	Unreachable map[string]time.Duration
	// Settled holds the disks of the voters that have settled the set's epoch: they hold every charge that a quorum of an
	// older set accepted, and a quorum of the set has adopted its epoch.
	Settled map[string]bool
	// InContact is set if gateways or other replicas have reached this replica within UnreachableTimeout.
	InContact bool
	// ReachableFrom is the number of other reachable voters that last reported each disk as
	// reachable.
	ReachableFrom map[string]int
	// Tolerate is how many voters may be lost at once.
	Tolerate int
	// Leaving is set once this machine is to be drained.
	Leaving bool
}

// ChangeKind is the type of a Change.
type ChangeKind uint8

// The changes of a membership.
const (
	// None means that there is nothing to do.
	None ChangeKind = iota
	// Wait means that a change is due but not allowed yet.
	Wait
	// Remove removes one voter.
	Remove
	// Add makes this replica a voter.
	Add
)

// Change is the next step of the membership.
type Change struct {
	Kind ChangeKind
	Next Set
	// Reason explains the change in the log.
	Reason string
}

// Plan returns the next change that this replica may make.
func Plan(view View) Change {
	if view.Set.Has(view.Self.Disk) {
		return planMember(view)
	}
	if view.Leaving {
		return Change{Kind: None}
	}
	return planJoin(view)
}

// planMember plans the next change of a voter: a leaving voter removes itself, any other may remove
// an unreachable voter.
func planMember(view View) Change {
	if view.Leaving {
		if len(view.Set.Voters) == 1 {
			return Change{Kind: Wait, Reason: "no other voter is left"}
		}
		return changeIfSettled(view, Change{Kind: Remove, Next: view.Set.Without(view.Self.Disk), Reason: "this machine is being drained"})
	}
	removed, due := voterToRemove(view)
	if due {
		return changeIfSettled(view, Change{Kind: Remove, Next: view.Set.Without(removed.Disk), Reason: "unreachable, and the remaining voters tolerate a loss without it"})
	}
	if removed, due = voterBlockingQuorum(view); due {
		return changeIfSettled(view, Change{Kind: Remove, Next: view.Set.Without(removed.Disk), Reason: "unreachable, and the remaining voters hold what every quorum accepted"})
	}
	return Change{Kind: None}
}

// changeIfSettled returns the change if the disks of the next set hold what the present one accepted, else Wait:
//   - Every quorum of the present set has a member among those that respond. A lost disk answers for nothing that was
//     accepted, so it is no such member. If the disks that are left have none in some quorum, all of them stay.
//   - Every quorum of the next set has a voter that settled the present one. If fewer voters than that are left, because
//     the disks of the others are lost, all of these must have settled it.
func changeIfSettled(view View, change Change) Change {
	remaining := remainingVoters(view, change.Next)
	if reachableOf(view, remaining) < min(view.Set.minIntersecting(), len(remainingVoters(view, view.Set))) {
		return Change{Kind: Wait, Reason: "the remaining disks lack what a quorum may have accepted"}
	}
	settled := 0
	for _, voter := range remaining {
		if view.Settled[voter.Disk] {
			settled++
		}
	}
	if settled < min(change.Next.minIntersecting(), len(remaining)) {
		return Change{Kind: Wait, Reason: "too few voters have settled the epoch"}
	}
	return change
}

// remainingVoters returns the voters of a set that are voters of the present one and whose disks are not known to be lost.
func remainingVoters(view View, set Set) []Voter {
	return slices.DeleteFunc(slices.Clone(set.Voters), func(voter Voter) bool {
		return isDiskLost(view, voter) || !view.Set.Has(voter.Disk)
	})
}

// voterBlockingQuorum returns an unreachable voter without which the reachable ones are a quorum, if they are none
// with it and have a member in every quorum of the set nevertheless: one of two voters, or two of four. What a quorum
// accepted is then known to them, and no other voters can accept anything once they have adopted the next epoch. The
// store admits one next set only, so that of two halves at most one goes on. It is the half that somebody reaches.
func voterBlockingQuorum(view View) (Voter, bool) {
	absent := unreachableVoters(view)
	reachable := reachableOf(view, remainingVoters(view, view.Set))
	if len(absent) == 0 || !view.InContact || reachable >= view.Set.Quorum() || reachable < view.Set.minIntersecting() {
		return Voter{}, false
	}
	without := view.Set.Without(absent[0].Disk)
	return absent[0], reachable >= without.Quorum() && view.Unreachable[absent[0].Disk] >= removalTimeout
}

// reachableOf returns how many of the voters respond, this one included.
func reachableOf(view View, voters []Voter) int {
	reachable := 0
	for _, voter := range voters {
		if voter == view.Self || view.Unreachable[voter.Disk] < UnreachableTimeout {
			reachable++
		}
	}
	return reachable
}

// unreachableVoters returns the other voters that have been unreachable for UnreachableTimeout.
func unreachableVoters(view View) []Voter {
	var absent []Voter
	for _, voter := range view.Set.Voters {
		if voter != view.Self && view.Unreachable[voter.Disk] >= UnreachableTimeout {
			absent = append(absent, voter)
		}
	}
	return absent
}

// voterToRemove returns an unreachable voter that should be removed from the set, if there is one.
// That is the case if the reachable voters could not lose the tolerated number as long as the
// unreachable ones count, and could do so without them. Otherwise an unreachable voter stays for
// removalTimeout, because it may return before others fail; after that it is removed if a quorum of
// the reachable voters is larger than the tolerated number of losses.
func voterToRemove(view View) (Voter, bool) {
	absent := unreachableVoters(view)
	if len(absent) == 0 {
		return Voter{}, false
	}
	reachable := reachableOf(view, remainingVoters(view, view.Set))
	absent = slices.DeleteFunc(absent, func(voter Voter) bool { return isReachableFromMajority(view, voter, reachable) })
	if len(absent) == 0 {
		return Voter{}, false
	}
	remaining := Set{Voters: make([]Voter, reachable)}
	for _, voter := range absent {
		if view.Unreachable[voter.Disk] >= removalTimeout && remaining.Quorum() > view.Tolerate {
			return voter, true
		}
	}
	afterLosses := reachable - view.Tolerate
	return absent[0], afterLosses < view.Set.Quorum() && afterLosses >= remaining.Quorum()
}

// isReachableFromMajority reports whether more than half of the other reachable voters can reach a voter
// that this one cannot. Then only the path between the two is cut, and removing the voter would make
// the two remove each other and rejoin in turn.
func isReachableFromMajority(view View, voter Voter, reachable int) bool {
	return 2*view.ReachableFrom[voter.Disk] > reachable-1
}

func planJoin(view View) Change {
	if !adoptedByQuorum(view) {
		return Change{Kind: Wait, Reason: "the epoch is not adopted by a quorum"}
	}
	for _, voter := range view.Set.Voters {
		if len(view.Set.Voters) > 1 && isDiskLost(view, voter) {
			return changeIfSettled(view, Change{Kind: Remove, Next: view.Set.Without(voter.Disk), Reason: "its machine registered another disk"})
		}
	}
	return changeIfSettled(view, Change{Kind: Add, Next: view.Set.With(view.Self), Reason: "caught up"})
}

// IsSettled reports whether a voter whose knowledge is the view has settled the epoch: it has adopted it and read the
// charges of a quorum of the set's voters that had adopted it, or of all that are not known to be lost.
func IsSettled(view View) bool {
	return view.Set.Has(view.Self.Disk) && view.Adopted[view.Self.Disk] && adoptedByQuorum(view)
}

// isDiskLost reports whether a voter's disk is known to be lost permanently, because its machine
// registered another one.
func isDiskLost(view View, voter Voter) bool {
	disk, known := view.Disks[voter.Node]
	return known && disk != voter.Disk
}

// adoptedByQuorum reports whether enough voters adopted the current epoch and
// handed over their charges. Lost disks cannot answer; if fewer than a quorum remain,
// all of the remaining ones must have answered.
func adoptedByQuorum(view View) bool {
	adopted, remaining := 0, 0
	for _, voter := range view.Set.Voters {
		if isDiskLost(view, voter) {
			continue
		}
		remaining++
		if view.Adopted[voter.Disk] {
			adopted++
		}
	}
	return adopted >= min(view.Set.Quorum(), remaining)
}
