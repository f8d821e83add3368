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
	// to the epochs of their replies.
	accepted map[string]uint64
	durable  map[string]uint64
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

// NewTally returns an empty tally.
func NewTally() *Tally {
	return &Tally{
		accepted: map[string]uint64{}, durable: map[string]uint64{},
		charges: map[string]ledger.Charge{}, missing: map[string]bool{},
	}
}

// Add applies one reply. Stale replies are ignored.
func (t *Tally) Add(reply ledger.Reply) {
	if reply.Stale != nil {
		return
	}
	if reply.Durable {
		t.durable[reply.Disk] = reply.Epoch
		return
	}
	if reply.Reserve == nil {
		return
	}
	if reply.Reserve.Recorded {
		t.accepted[reply.Disk] = reply.Epoch
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
	return len(set.Voters) > 0 && countVoters(t.durable, set) >= set.Quorum()
}

// DurableWithCopies reports whether the reservation is durable on a quorum of the set and on at
// least copies voters, or on all voters if the set is smaller. A small quorum alone may be lost
// together with the number of disks whose loss must be tolerated.
func (t *Tally) DurableWithCopies(set replicaset.Set, copies int) bool {
	return len(set.Voters) > 0 && countVoters(t.durable, set) >= max(set.Quorum(), min(copies, len(set.Voters)))
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

// countVoters returns the number of voters that replied under the set's epoch or a newer one.
// Replies under older epochs do not count, because the replica may have sent them before the set
// changed.
func countVoters(epochs map[string]uint64, set replicaset.Set) int {
	voters := 0
	for _, voter := range set.Voters {
		if epoch, answered := epochs[voter.Disk]; answered && epoch >= set.Epoch {
			voters++
		}
	}
	return voters
}
