package e2e

import (
	"bytes"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
)

// This file lets the back ends of the soak refuse requests and send copies of their answers late, where the answer to a
// later request on the connection is due.

const (
	// refusalShare is the share of requests that a back end refuses.
	refusalShare = 0.5
	// copyShare is the share of answers that are sent again, refusalCopyShare that of refusals.
	copyShare, refusalCopyShare = 0.03, 0.5
	// maxCopyDelay is how many requests later a copy is sent at the most.
	maxCopyDelay = 3
	// copyStream selects the random numbers, so that faults and requests of a seed stay the same.
	copyStream = 1 << 33
)

// hasUnsolicitedAnswers reports whether back ends refuse requests and send answers again: with seeds that did not find a
// fault before they did so.
func (s *soak) hasUnsolicitedAnswers() bool {
	return !slices.Contains(slices.Concat(failedSeeds, overlappingSeeds, versionSeeds, lethalSeeds), s.seed)
}

// addUnsolicitedAnswers makes all back ends refuse requests and send answers of all kinds again.
func (s *soak) addUnsolicitedAnswers() {
	if !s.hasUnsolicitedAnswers() {
		return
	}
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(s.seed, copyStream))
	happens := func(share float64) bool { return random.Float64() < share }
	for _, backEnd := range append(s.backEnds(), s.spares...) {
		backEnd.SetRefusals(func() bool {
			mu.Lock()
			defer mu.Unlock()
			return happens(refusalShare)
		})
		backEnd.SetUnsolicitedAnswers(func(answer []byte) int {
			mu.Lock()
			defer mu.Unlock()
			share := copyShare
			if bytes.Contains(answer, []byte("X-Not-Executed")) {
				share = refusalCopyShare
			}
			if !happens(share) {
				return 0
			}
			return 1 + random.IntN(maxCopyDelay)
		})
	}
}

// checkUnsolicitedAnswers checks that back ends sent answers again.
func (s *soak) checkUnsolicitedAnswers(t *testing.T) {
	copies := 0
	for _, backEnd := range append(s.backEnds(), s.spares...) {
		copies += backEnd.UnsolicitedAnswers()
	}
	t.Logf("%d answers selected to be sent again", copies)
	if s.hasUnsolicitedAnswers() {
		assert.Positive(t, copies, "no answer was sent again")
	}
}
