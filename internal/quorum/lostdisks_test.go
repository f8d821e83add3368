package quorum

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/ledger"
	"swiftbank.dev/swiftbank/internal/replicaset"
)

// restoring is a cell of which two disks are lost at once, with a charge that a quorum had.
type restoring struct {
	random *rand.Rand
	set    replicaset.Set
	states map[string]*ledger.State
	// heard holds, for each new disk, the epochs that others confirmed to it.
	heard map[string]map[string]uint64
}

func newRestoring(seed uint64) *restoring {
	r := &restoring{random: rand.New(rand.NewPCG(seed, 3)), states: map[string]*ledger.State{}, heard: map[string]map[string]uint64{}}
	names := []string{"a", "b", "c", "d"}
	r.set.Epoch = 1
	for _, name := range names {
		r.states[name] = ledger.NewState("disk-"+name, name)
		r.set.Voters = append(r.set.Voters, replicaset.Voter{Node: name, Disk: "disk-" + name})
	}
	acceptedBy := r.random.Perm(len(names))[:r.set.Quorum()]
	for _, place := range acceptedBy {
		charge := ledger.Charge{Turn: "accepted", Tokens: modelMost}
		r.states[names[place]].Step(time.Unix(1000, 0), ledger.Request{Epoch: 1, Reserve: &ledger.Reserve{Program: programName, Charge: charge}})
	}
	for _, place := range r.random.Perm(len(names))[:2] {
		r.states[names[place]] = ledger.NewState("new-"+names[place], "new")
		r.heard[names[place]] = map[string]uint64{}
	}
	return r
}

// step lets one new disk take its next step, after one voter more has answered it.
func (r *restoring) step(name string) {
	own := replicaset.Voter{Node: name, Disk: r.states[name].Disk()}
	view := replicaset.View{Own: own, Set: r.set, Tolerate: 2, Disks: map[string]string{}, Adopted: map[string]bool{}}
	for node, state := range r.states {
		view.Disks[node] = state.Disk()
	}
	for _, voter := range r.set.Voters {
		view.Adopted[voter.Disk] = r.heard[name][voter.Disk] >= r.set.Epoch
	}
	switch change := replicaset.Plan(view); change.Kind {
	case replicaset.Add, replicaset.Remove:
		r.set = change.Next
	case replicaset.Wait:
		r.adopt(name, r.set.Voters[r.random.IntN(len(r.set.Voters))])
	}
}

// adopt asks one voter for the epoch's adoption and its charges.
func (r *restoring) adopt(name string, voter replicaset.Voter) {
	asked := r.states[voter.Node]
	if asked.Disk() != voter.Disk {
		return
	}
	now := time.Unix(1001, 0)
	output := asked.Step(now, ledger.Request{Adopt: &ledger.Adopt{Set: r.set, WithCharges: true}})
	r.states[name].MergeCharges(now, output.Durable[0].Charges)
	r.heard[name][voter.Disk] = r.set.Epoch
}

// known returns how many voters hold the charge.
func (r *restoring) known() int {
	count := 0
	for _, voter := range r.set.Voters {
		output := r.states[voter.Node].Step(time.Unix(1002, 0), ledger.Request{Adopt: &ledger.Adopt{Set: r.set, WithCharges: true}})
		if len(output.Durable[0].Charges) > 0 {
			count++
		}
	}
	return count
}

// Four voters have no quorum without two of them. The cell rests then; when it goes on, every
// quorum knows each charge that one had accepted.
func TestTwoLostDisksOfFourLoseNoAcceptedCharge(t *testing.T) {
	for seed := range uint64(300) {
		r := newRestoring(seed)
		names := []string{"a", "b", "c", "d"}
		for range 400 {
			if name := names[r.random.IntN(len(names))]; r.heard[name] != nil {
				r.step(name)
			}
		}
		require.Len(t, r.set.Voters, len(names), "seed %d: both new disks have joined", seed)
		require.Greater(t, r.known(), len(r.set.Voters)-r.set.Quorum(), "seed %d: every quorum holds the charge", seed)
	}
}
