package gateway

import "slices"

// instanceRuns tracks the instances that may have run a request and determines which may run it
// next. A route bounds how many instances may run one request. An instance that broke off its
// answer, gave none, or seems unreachable may still be running the request, so it stays counted;
// another one may be asked only once that instance is asked again and found to be gone (see
// sendUntilAccepted). It has no clock and is not safe for concurrent use.
type instanceRuns struct {
	// attempts is the number of instances that may run the request.
	attempts int
	// instances may have run the request, in the order of their last run.
	instances []string
}

// add records that an instance may have run the request. An unknown outcome counts as a run.
func (r *instanceRuns) add(instance string) {
	r.instances = slices.DeleteFunc(r.instances, func(known string) bool { return known == instance })
	r.instances = append(r.instances, instance)
}

// requiredInstance returns the only instance that may run the request next, or "" if any may.
// If several instances ran it and the last one made no progress, that is the one whose run is
// the longest ago; else it is the last one.
func (r *instanceRuns) requiredInstance(noProgress bool) string {
	switch {
	case len(r.instances) == 0 || len(r.instances) < r.attempts:
		return ""
	case noProgress:
		return r.instances[0]
	default:
		return r.instances[len(r.instances)-1]
	}
}
