package quarantine

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// Outcome is what is known of the end of a run. A later outcome in this order replaces an earlier one, so
// that records merge to the same result in any order.
type Outcome uint8

const (
	// Running is recorded before a suspect is sent: if its gateway ends, others know of the run.
	Running Outcome = iota + 1
	// Silent means that the instance's machine stopped answering: it has ended, or is cut off.
	Silent
	// Ended means that the instance ended during the run.
	Ended
	// Survived means that the instance outlived the run.
	Survived
	// Released means that the request completed later, or that an operator released it.
	Released
)

// outcomeNames are the names used in logs and by commands.
var outcomeNames = [...]string{Running: "running", Silent: "silent", Ended: "ended", Survived: "survived", Released: "released"}

// String returns the name used in logs and by commands.
func (o Outcome) String() string {
	if o == 0 || int(o) >= len(outcomeNames) {
		return "unknown"
	}
	return outcomeNames[o]
}

// MarshalText implements encoding.TextMarshaler for the lists of commands.
func (o Outcome) MarshalText() ([]byte, error) { return []byte(o.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. The names of later versions are unknown.
func (o *Outcome) UnmarshalText(text []byte) error {
	*o = Outcome(max(0, slices.Index(outcomeNames[:], string(text))))
	return nil
}

// isOpen reports whether the outcome is not final.
func (o Outcome) isOpen() bool { return o == Running || o == Silent }

// Run is one run of a request at an instance.
type Run struct {
	// ID is unique among all runs; RunIDOf makes it.
	ID       string
	Instance string
	// Born is the start time of the instance in Unix milliseconds; 0 if unknown.
	Born uint64
	// Life tells the lives of an instance apart whose start time is unknown or not yet listed. Gateways number the
	// same life differently; 0 if it is unknown.
	Life    int
	Outcome Outcome
	// Lost is set on a run without an outcome once it was lost: it becomes known soon whether its instance ends. On a run
	// that its instance outlived, it is set if the instance may still end of it later.
	Lost bool
	// Unproven is set on a lost run once nothing is left that could show that its instance outlived it.
	Unproven bool
}

// RunIDOf returns the id of a request's run: the id of the caller's attempt and the number of the send.
func RunIDOf(attempt string, send int) string { return attempt + "#" + strconv.Itoa(send) }

// lateSuffix ends the id of a run whose instance ended after it had been recorded as outlived.
const lateSuffix = "/late"

// AsLate returns the run as one of its own, so that a later end can be recorded.
func (r Run) AsLate() Run {
	r.ID += lateSuffix
	return r
}

// isLate reports whether AsLate returned the run.
func (r Run) isLate() bool { return strings.HasSuffix(r.ID, lateSuffix) }

// refusedSuffix ends the id of a run that its instance refused, promising not to run it.
const refusedSuffix = "/refused"

// AsRefused returns the run as a refused one of its own: of the send itself it may be recorded that it was never run.
func (r Run) AsRefused() Run {
	r.ID += refusedSuffix
	return r
}

// IsRefused reports whether the instance refused the request, promising not to run it.
func (r Run) IsRefused() bool { return strings.HasSuffix(r.ID, refusedSuffix) }

// IsExposed reports whether the instance outlived the run, and may still end of it.
func (r Run) IsExposed() bool { return r.Outcome == Survived && r.Lost }

// IsRefusal reports whether the run is a refusal after which no end is known. It matters for a moment and is not recorded
// durably: records of ends would give way to those of full instances.
func (r Run) IsRefusal() bool { return r.IsRefused() && r.IsExposed() }

// ExposedFor returns how long the instance of an exposed run may still end of it. Refusals are ordinary, so those that
// refused the request are exposed only until an end soon after the refusal is known.
func (r Run) ExposedFor() time.Duration {
	if r.IsRefused() {
		return lostTTL
	}
	return ExposedTTL
}

// isOf reports whether the run belongs to the caller's attempt with the given id.
func (r Run) isOf(attempt string) bool { return strings.HasPrefix(r.ID, attempt+"#") }

// Attempt returns the id of the caller's attempt that the run belongs to.
func (r Run) Attempt() string {
	attempt, _, _ := strings.Cut(r.ID, "#")
	return attempt
}

// State names what is known of the run: its outcome, or that it was lost, or that its outcome will not become known.
func (r Run) State() string {
	switch {
	case r.Outcome == Running && r.Unproven:
		return "unproven"
	case r.Outcome == Running && r.Lost:
		return "unresolved"
	default:
		return r.Outcome.String()
	}
}

// knowledge orders the states of a run with the same outcome by what is known.
func (r Run) knowledge() int {
	switch {
	case r.Unproven:
		return 2
	case r.Lost:
		return 1
	default:
		return 0
	}
}

// Merge returns the run that knows more, and whether that is not the known one.
func (r Run) Merge(other Run) (merged Run, changed bool) {
	if other.Outcome > r.Outcome || other.Outcome == r.Outcome && other.knowledge() > r.knowledge() {
		return other, true
	}
	return r, false
}

// incarnation identifies one life of an instance, which can end only once.
type incarnation struct {
	instance string
	born     uint64
	life     int
}

func (r Run) incarnation() incarnation {
	return incarnation{instance: r.Instance, born: r.Born, life: r.Life}
}

// Record holds the known runs of one request.
type Record struct {
	Key  Key
	Runs []Run
}
