// Package quorum is a gateway's side of the replicas: it sends each reservation
// and each finished turn to all of them and says when enough have answered.
package quorum

import (
	"swiftbank.dev/swiftbank/internal/ledger"
	"swiftbank.dev/swiftbank/internal/replicaset"
)

// Tally counts the replies to one request. It is a pure value without a clock;
// replies may come twice and in any order.
type Tally struct {
	// accepted and durable hold the disks that said so, with the epoch they said it in.
	accepted map[string]uint64
	durable  map[string]uint64
	// charges is the union of the program's charges in all accepted replies.
	charges map[string]ledger.Charge
	// History of the turn asked for, once a replica had it.
	Found    bool
	History  []byte
	Instance string
	// Foreign is set once a replica said that the turn asked for is another tenant's.
	Foreign bool
	// missing holds the disks that do not have the history.
	missing map[string]bool
}

// NewTally returns an empty tally.
func NewTally() *Tally {
	return &Tally{
		accepted: map[string]uint64{}, durable: map[string]uint64{},
		charges: map[string]ledger.Charge{}, missing: map[string]bool{},
	}
}

// Add applies one reply. A stale reply counts for nothing.
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
		if merged, changed := ledger.Merge(t.charges, charge); changed {
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

// Accepted reports whether a quorum of the set accepted the reservation.
func (t *Tally) Accepted(set replicaset.Set) bool {
	return len(set.Voters) > 0 && count(t.accepted, set) >= set.Quorum()
}

// Durable reports whether the reservation is on the disks of a quorum of the set.
func (t *Tally) Durable(set replicaset.Set) bool {
	return len(set.Voters) > 0 && count(t.durable, set) >= set.Quorum()
}

// DurableWithCopies reports whether the reservation is on the disks of a quorum, and on at least so
// many disks, as far as the set has them: a small quorum alone may be lost with the number of
// disks that is to be borne.
func (t *Tally) DurableWithCopies(set replicaset.Set, copies int) bool {
	return len(set.Voters) > 0 && count(t.durable, set) >= max(set.Quorum(), min(copies, len(set.Voters)))
}

// Answered reports whether the disk has said all that the request waits for: a
// reservation is answered for good once it is durable.
func (t *Tally) Answered(disk string) bool {
	_, durable := t.durable[disk]
	return durable
}

// DurableCopies returns how many disks hold the request durably, voters or not.
func (t *Tally) DurableCopies() int { return len(t.durable) }

// OtherTurnTokens returns the tokens charged to the program by all turns but one: final
// charges as they are, reservations at their most.
func (t *Tally) OtherTurnTokens(turn string) int64 {
	return sumOthers(turn, t.charges)
}

// Cached returns the prompts that the program's turns left in the memory of instances.
func (t *Tally) Cached() []ledger.CachedPrompt {
	var cached []ledger.CachedPrompt
	for _, charge := range t.charges {
		if charge.Cached.Part != "" {
			cached = append(cached, charge.Cached)
		}
	}
	return cached
}

// count returns the voters that answered under the set's epoch. An answer under an
// older one is void: the replica may have answered before the set changed.
func count(answers map[string]uint64, set replicaset.Set) int {
	voters := 0
	for _, voter := range set.Voters {
		if epoch, answered := answers[voter.Disk]; answered && epoch >= set.Epoch {
			voters++
		}
	}
	return voters
}
