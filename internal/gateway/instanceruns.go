package gateway

import "slices"

// instanceRuns says where a request that ran may go on. A route bounds the instances that may
// run one request. One that breaks off each answer, gives none, or seems out of reach may be at
// work: it stays in the count, and only when it is asked to go on and is found to be gone may
// another one be asked (sendUntilTaken). It is a pure value without a clock.
type instanceRuns struct {
	// attempts is how many instances may run the request.
	attempts int
	// ran are the instances that may have run it, the last one at the end.
	ran []string
}

// add notes that an instance may have run the request: its outcome counts as a run when it is
// not known.
func (r *instanceRuns) add(instance string) {
	r.ran = slices.DeleteFunc(r.ran, func(known string) bool { return known == instance })
	r.ran = append(r.ran, instance)
}

// only returns the instance that alone may run the request next, "" while another one may.
// Where several ran it, the one that ran it longest ago comes next if the last one gave nothing.
func (r *instanceRuns) only(gaveNothing bool) string {
	switch {
	case len(r.ran) == 0 || len(r.ran) < r.attempts:
		return ""
	case gaveNothing:
		return r.ran[0]
	default:
		return r.ran[len(r.ran)-1]
	}
}
