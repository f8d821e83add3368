package gateway

import "slices"

// instanceRuns says where a request that ran may go on. A route bounds the instances that may
// run one request; only those that are known to be gone leave the count. One that breaks off
// each answer, or gives none, may be at work. It is a pure value without a clock.
type instanceRuns struct {
	// attempts is how many instances may run the request.
	attempts int
	// ran are the instances that may have run it and are not known to be gone, the last one
	// at the end.
	ran []string
}

// add notes that an instance may have run the request: its outcome counts as a run when it is
// not known.
func (r *instanceRuns) add(instance string) {
	r.remove(instance)
	r.ran = append(r.ran, instance)
}

// remove notes that an instance is known to be gone, or that it is no longer the last.
func (r *instanceRuns) remove(instance string) {
	r.ran = slices.DeleteFunc(r.ran, func(known string) bool { return known == instance })
}

// only returns the instance that alone may run the request next, "" while another one may.
// Where several ran it, the one that ran it longest ago comes next if the last one gave nothing.
func (r *instanceRuns) only(gaveNothing bool) string {
	switch {
	case len(r.ran) < r.attempts:
		return ""
	case len(r.ran) == 0:
		return "" // a route without a bound, whose instances are gone
	case gaveNothing:
		return r.ran[0]
	default:
		return r.ran[len(r.ran)-1]
	}
}
