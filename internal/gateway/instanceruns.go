package gateway

import "slices"

// instanceRuns says which instance may run a request next. A route bounds how many instances may
// run one request. An instance that broke off its answer, gave none, or seems unreachable may
// still be running it, so it stays counted; another one may be asked only once that instance is
// asked again and found to be gone (sendUntilTaken). It is a pure value without a clock.
type instanceRuns struct {
	// attempts is how many instances may run the request.
	attempts int
	// instances are the instances that may have run it, the last one at the end.
	instances []string
}

// add notes that an instance may have run the request: an unknown outcome counts as a run.
func (r *instanceRuns) add(instance string) {
	r.instances = slices.DeleteFunc(r.instances, func(known string) bool { return known == instance })
	r.instances = append(r.instances, instance)
}

// requiredInstance returns the instance that alone may run the request next, "" while another one may.
// Where several ran it, the one that ran it longest ago comes next if the last one gave nothing.
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
