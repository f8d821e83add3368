package admission

// slowdown records how the duration of a service's requests grows with the utilization of its
// slots, over all instances. Load differs between instances at any moment, so the growth sets in
// earlier than on a single instance.
//
// The first half counts requests by utilization, the second half sums their durations in
// milliseconds. Each step decays with each new sample instead of with time, so that a burst can use
// what was learned in the previous one. Both halves can be added over gateways.
type slowdown [2 * utilizationSteps]float64

const (
	// utilizationSteps is the number of steps into which utilization is divided.
	utilizationSteps = 8
	// samplesPerStep is the effective number of samples in a step.
	samplesPerStep = 40
	// minSamples is how many requests must be observed in a step before its mean is used.
	minSamples = 20
	// minSlopeSteps is over how many steps the growth must be known before it is extrapolated: the
	// difference between neighbouring steps is mostly noise.
	minSlopeSteps = 2
	// minToleratedSlowdown is the slowdown that is always tolerated: programs that miss their
	// deadlines at this slowdown would miss them anyway, so no other programs are refused for them.
	minToleratedSlowdown = 1.25
	// baselineUtilization is the highest utilization at which request durations can serve as the
	// baseline without load. While only higher utilizations have been observed, utilization is
	// limited to unlearnedUtilization so that a baseline can be learned: with a baseline from under
	// load, requests would seem never to slow down.
	baselineUtilization  = 0.375
	unlearnedUtilization = baselineUtilization - 0.5/utilizationSteps
	// searchSteps is the resolution of the search for the tolerable utilization.
	searchSteps = 64
)

// observe adds a request's duration in milliseconds.
func (s *slowdown) observe(utilization, tookMS float64) {
	step := min(utilizationSteps-1, max(0, int(utilization*utilizationSteps)))
	s[step] -= s[step] / samplesPerStep
	s[utilizationSteps+step] -= s[utilizationSteps+step] / samplesPerStep
	s[step]++
	s[utilizationSteps+step] += tookMS
}

// point is the mean request duration at one utilization.
type point struct{ utilization, meanMS float64 }

// points returns the known mean durations by utilization, made monotonically non-decreasing.
func (s *slowdown) points() []point {
	var result []point
	slowest := 0.0
	for step := range utilizationSteps {
		if s[step] < minSamples {
			continue
		}
		slowest = max(slowest, s[utilizationSteps+step]/s[step])
		result = append(result, point{utilization: (float64(step) + 0.5) / utilizationSteps, meanMS: slowest})
	}
	return result
}

// hasBaseline reports whether the request duration with few busy slots is known.
func hasBaseline(points []point) bool {
	return len(points) > 0 && points[0].utilization <= baselineUtilization
}

// slowdownAt returns the factor by which requests take longer at the given utilization than with
// few busy slots; 1 while the baseline is unknown. Beyond the highest observed utilization it
// extrapolates linearly.
func slowdownAt(points []point, utilization float64) float64 {
	if !hasBaseline(points) || utilization <= points[0].utilization {
		return 1
	}
	baseline := points[0]
	for i := 1; i < len(points); i++ {
		before, after := points[i-1], points[i]
		if utilization <= after.utilization {
			fraction := (utilization - before.utilization) / (after.utilization - before.utilization)
			return (before.meanMS + fraction*(after.meanMS-before.meanMS)) / baseline.meanMS
		}
	}
	last := points[len(points)-1]
	if last.utilization-baseline.utilization < float64(minSlopeSteps)/utilizationSteps {
		return last.meanMS / baseline.meanMS
	}
	growth := (last.meanMS - baseline.meanMS) / (last.utilization - baseline.utilization)
	return (last.meanMS + growth*(utilization-last.utilization)) / baseline.meanMS
}

// exploredUtilization returns the highest utilization to allow: one step beyond the highest
// observed one until the slowdown is known, then 1.
func exploredUtilization(points []point) float64 {
	last := points[len(points)-1].utilization
	if last-points[0].utilization >= float64(minSlopeSteps)/utilizationSteps {
		return 1
	}
	return min(1, max(unlearnedUtilization, last+1.0/utilizationSteps))
}

// tolerableUtilization returns the highest utilization at which requests slow down by at most
// maxSlowdown, or minToleratedSlowdown if that is larger.
func tolerableUtilization(points []point, maxSlowdown float64) float64 {
	if !hasBaseline(points) {
		return unlearnedUtilization
	}
	largest := exploredUtilization(points)
	for step := 1; step <= searchSteps; step++ {
		utilization := float64(step) / searchSteps
		if utilization > largest || slowdownAt(points, utilization) > max(minToleratedSlowdown, maxSlowdown) {
			return float64(step-1) / searchSteps
		}
	}
	return 1
}
