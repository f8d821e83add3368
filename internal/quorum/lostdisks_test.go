package quorum

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/ledger"
	"swiftbank.dev/swiftbank/internal/replicaset"
)

// recoveringCell is a cell that lost two disks at once after a quorum had accepted a charge.
type recoveringCell struct {
	random *rand.Rand
	set    replicaset.Set
	states map[string]*ledger.State
	// confirmedEpochs maps each node with a new disk to the epochs that the voters confirmed to it,
	// by disk.
	confirmedEpochs map[string]map[string]uint64
}

func newRecoveringCell(seed uint64) *recoveringCell {
	r := &recoveringCell{random: rand.New(rand.NewPCG(seed, 3)), states: map[string]*ledger.State{}, confirmedEpochs: map[string]map[string]uint64{}}
	names := []string{"a", "b", "c", "d"}
	r.set.Epoch = 1
	for _, name := range names {
		r.states[name] = ledger.NewState("disk-"+name, name)
		r.set.Voters = append(r.set.Voters, replicaset.Voter{Node: name, Disk: "disk-" + name})
	}
	acceptedBy := r.random.Perm(len(names))[:r.set.Quorum()]
	for _, index := range acceptedBy {
		charge := ledger.Charge{Turn: "accepted", Tokens: modelTurnTokens}
		r.states[names[index]].Step(time.Unix(1000, 0), ledger.Request{Epoch: 1, Reserve: &ledger.Reserve{Program: programName, Charge: charge}})
	}
	for _, index := range r.random.Perm(len(names))[:2] {
		r.states[names[index]] = ledger.NewState("new-"+names[index], "new")
		r.confirmedEpochs[names[index]] = map[string]uint64{}
	}
	return r
}

// step plans and applies the next membership change of a new disk. If the plan is to wait, it
// queries one more voter.
func (r *recoveringCell) step(name string) {
	own := replicaset.Voter{Node: name, Disk: r.states[name].Disk()}
	view := replicaset.View{Self: own, Set: r.set, Tolerate: 2, Disks: map[string]string{}, Adopted: map[string]bool{}}
	for node, state := range r.states {
		view.Disks[node] = state.Disk()
	}
	for _, voter := range r.set.Voters {
		view.Adopted[voter.Disk] = r.confirmedEpochs[name][voter.Disk] >= r.set.Epoch
	}
	switch change := replicaset.Plan(view); change.Kind {
	case replicaset.Add, replicaset.Remove:
		r.set = change.Next
	case replicaset.Wait:
		r.adopt(name, r.set.Voters[r.random.IntN(len(r.set.Voters))])
	}
}

// adopt makes one voter adopt the current epoch and merges the voter's charges.
func (r *recoveringCell) adopt(name string, voter replicaset.Voter) {
	state := r.states[voter.Node]
	if state.Disk() != voter.Disk {
		return
	}
	now := time.Unix(1001, 0)
	output := state.Step(now, ledger.Request{Adopt: &ledger.Adopt{Set: r.set, WithCharges: true}})
	r.states[name].MergeCharges(now, output.AfterSync[0].Charges)
	r.confirmedEpochs[name][voter.Disk] = r.set.Epoch
}

// votersWithCharge returns the number of voters that hold the charge.
func (r *recoveringCell) votersWithCharge() int {
	count := 0
	for _, voter := range r.set.Voters {
		output := r.states[voter.Node].Step(time.Unix(1002, 0), ledger.Request{Adopt: &ledger.Adopt{Set: r.set, WithCharges: true}})
		if len(output.AfterSync[0].Charges) > 0 {
			count++
		}
	}
	return count
}

// Four voters have no quorum without two of them, so the cell stops until the new disks have
// joined. Afterwards every quorum must hold each charge that a quorum had accepted before.
func TestTwoLostDisksOfFourKeepAcceptedCharges(t *testing.T) {
	for seed := range uint64(300) {
		r := newRecoveringCell(seed)
		names := []string{"a", "b", "c", "d"}
		for range 400 {
			if name := names[r.random.IntN(len(names))]; r.confirmedEpochs[name] != nil {
				r.step(name)
			}
		}
		require.Len(t, r.set.Voters, len(names), "seed %d: both new disks have joined", seed)
		require.Greater(t, r.votersWithCharge(), len(r.set.Voters)-r.set.Quorum(), "seed %d: every quorum holds the charge", seed)
	}
}
