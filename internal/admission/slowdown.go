package admission

// slowdown is how the time of a service's requests grows with the share of its slots in use,
// over all instances. Instances differ in load at any moment, so this grows sooner than the
// time on a single instance does.
//
// The first half of it counts requests by the share in use, the second half sums their times
// in milliseconds. Both fade, and can be added over gateways.
type slowdown [2 * shareSteps]float64

const (
	// shareSteps is into how many parts the slots of a service are divided.
	shareSteps = 8
	// leastRequests is how many requests tell the mean time of a step.
	leastRequests = 30
	// leastSteps is over how many steps the growth must be known before it is taken to go on
	// beyond them: the difference of two neighbours is mostly chance.
	leastSteps = 2
	// calmShare is the part of the slots that may always be in use: a request beside few
	// others takes about as long as alone, and with less in use nothing would be learned.
	calmShare = 0.25
	// searchSteps is how finely the bearable share is searched for.
	searchSteps = 64
)

// observe adds a request's time in milliseconds.
func (s *slowdown) observe(share, took float64) {
	step := min(shareSteps-1, max(0, int(share*shareSteps)))
	s[step]++
	s[shareSteps+step] += took
}

// fade leaves a part of what was learned.
func (s *slowdown) fade(remembered float64) {
	for place := range s {
		s[place] *= remembered
	}
}

// point is the mean time at a share of the slots in use.
type point struct{ share, took float64 }

// points returns the mean times that are known, by share; they never fall.
func (s *slowdown) points() []point {
	var known []point
	slowest := 0.0
	for step := range shareSteps {
		if s[step] < leastRequests {
			continue
		}
		slowest = max(slowest, s[shareSteps+step]/s[step])
		known = append(known, point{share: (float64(step) + 0.5) / shareSteps, took: slowest})
	}
	return known
}

// at returns by how much longer than with few in use a request takes at a share of the slots;
// 1 before that is known. Beyond the largest share that was seen it goes on to grow as before.
func at(known []point, share float64) float64 {
	if len(known) == 0 || known[0].share > 0.5 || share <= known[0].share {
		return 1
	}
	calm := known[0]
	for place := 1; place < len(known); place++ {
		before, after := known[place-1], known[place]
		if share <= after.share {
			part := (share - before.share) / (after.share - before.share)
			return (before.took + part*(after.took-before.took)) / calm.took
		}
	}
	last := known[len(known)-1]
	if last.share-calm.share < float64(leastSteps)/shareSteps {
		return last.took / calm.took
	}
	growth := (last.took - calm.took) / (last.share - calm.share)
	return (last.took + growth*(share-last.share)) / calm.took
}

// bearable returns the share of the slots in use up to which requests take at most so many
// times as long as with few in use.
func bearable(known []point, most float64) float64 {
	for step := 1; step <= searchSteps; step++ {
		share := float64(step) / searchSteps
		if at(known, share) > most {
			return max(calmShare, float64(step-1)/searchSteps)
		}
	}
	return 1
}
