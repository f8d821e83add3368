// Package quorum is the gateway's client for the replicas that store turns and charges. It sends
// reservations and finished turns to the replicas of a cell and reports when a quorum has
// acknowledged them.
package quorum

import (
	"swiftbank.dev/swiftbank/internal/ledger"
	"swiftbank.dev/swiftbank/internal/replicaset"
)

// Tally collects the replies to one request. Replies may arrive more than once and in any order. It
// does not read the clock.
type Tally struct {
	// accepted and durable map the disks that accepted the request, and those that hold it durably,
	// to their replies.
	accepted map[string]confirmation
	durable  map[string]confirmation
	// charges is the union of the program's charges in all replies.
	charges map[string]ledger.Charge
	// Found is set once a replica returned the requested history; History is its text and
	// Instance the instance that ran the turn last.
	Found    bool
	History  []byte
	Instance string
	// Foreign is set once a replica replied that the requested turn belongs to another tenant.
	Foreign bool
	// missing holds the disks that lack the history.
	missing map[string]bool
}

// confirmation is what a reply to a request says besides its content.
type confirmation struct {
	epoch uint64
	// life is the run of the replica's process.
	life uint32
}

// NewTally returns an empty tally.
func NewTally() *Tally {
	return &Tally{
		accepted: map[string]confirmation{}, durable: map[string]confirmation{},
		charges: map[string]ledger.Charge{}, missing: map[string]bool{},
	}
}

// Add applies one reply. Stale replies are ignored.
func (t *Tally) Add(reply ledger.Reply) {
	if reply.Stale != nil {
		return
	}
	confirmed := confirmation{epoch: reply.Epoch, life: reply.Life}
	if reply.Durable {
		t.durable[reply.Disk] = confirmed
		return
	}
	if reply.Reserve == nil {
		return
	}
	if reply.Reserve.Recorded {
		t.accepted[reply.Disk] = confirmed
	}
	for _, charge := range reply.Reserve.Charges {
		if merged, changed := ledger.MergeCharge(t.charges, charge); changed {
			t.charges[charge.Turn] = merged
		}
	}
	switch {
	case reply.Reserve.Foreign:
		t.Foreign = true
	case reply.Reserve.Found:
		t.Found, t.History, t.Instance = true, reply.Reserve.History, reply.Reserve.Instance
	case reply.Reserve.Missing:
		t.missing[reply.Disk] = true
	}
}

// Accepted reports whether a quorum of the set has accepted the reservation.
func (t *Tally) Accepted(set replicaset.Set) bool {
	return len(set.Voters) > 0 && countVoters(t.accepted, set) >= set.Quorum()
}

// Durable reports whether the reservation is durable on a quorum of the set.
func (t *Tally) Durable(set replicaset.Set) bool {
	return len(set.Voters) > 0 && t.durableVoters(set) >= set.Quorum()
}

// DurableWithCopies reports whether the reservation is durable on a quorum of the set and on at
// least copies voters, or on all voters if the set is smaller. A small quorum alone may be lost
// together with the number of disks whose loss must be tolerated.
func (t *Tally) DurableWithCopies(set replicaset.Set, copies int) bool {
	return len(set.Voters) > 0 && t.durableVoters(set) >= max(set.Quorum(), min(copies, len(set.Voters)))
}

// durableVoters returns the number of voters that hold the request durably. A reservation counts only if the same run of
// the replica's process has said with which charges it accepted it: after a loss of power it may accept the
// reservation again, beside others that it has accepted meanwhile.
func (t *Tally) durableVoters(set replicaset.Set) int {
	isReservation := len(t.accepted) > 0
	voters := 0
	for _, voter := range set.Voters {
		if isCounted(t.durable, voter, set) && (!isReservation || t.isAcceptedInSameLife(voter.Disk)) {
			voters++
		}
	}
	return voters
}

// isAcceptedInSameLife reports whether the run of the disk's replica that holds the request durably has accepted it.
func (t *Tally) isAcceptedInSameLife(disk string) bool {
	accepted, isAccepted := t.accepted[disk]
	return isAccepted && accepted.life == t.durable[disk].life
}

// Answered reports whether the disk has sent its final reply. The final reply to a reservation is
// the one that reports it as durable.
func (t *Tally) Answered(disk string) bool {
	_, durable := t.durable[disk]
	return durable
}

// DurableCopies returns the number of disks, voters or not, that hold the request durably.
func (t *Tally) DurableCopies() int { return len(t.durable) }

// OtherTurnTokens returns the tokens charged to the program by all turns except one. Final charges
// count with the tokens used, reservations with the full reserved amount.
func (t *Tally) OtherTurnTokens(turn string) int64 {
	return sumOtherTokens(turn, t.charges)
}

// Cached returns the prompts that the program's turns left in the caches of instances.
func (t *Tally) Cached() []ledger.CachedPrompt {
	var cached []ledger.CachedPrompt
	for _, charge := range t.charges {
		if charge.Cached.Part != "" {
			cached = append(cached, charge.Cached)
		}
	}
	return cached
}

// countVoters returns the number of voters whose replies count.
func countVoters(confirmations map[string]confirmation, set replicaset.Set) int {
	voters := 0
	for _, voter := range set.Voters {
		if isCounted(confirmations, voter, set) {
			voters++
		}
	}
	return voters
}

// isCounted reports whether a voter replied under the set's epoch or a newer one. Replies under older epochs do not count,
// because the replica may have sent them before the set changed.
func isCounted(confirmations map[string]confirmation, voter replicaset.Voter, set replicaset.Set) bool {
	confirmed, answered := confirmations[voter.Disk]
	return answered && confirmed.epoch >= set.Epoch
}
