package quarantine

import (
	"slices"
	"time"
)

// Standing is what counts against a request.
type Standing struct {
	// Ended is the number of instances that ended while they ran the request. Possible is the number of
	// further ones that may have.
	Ended, Possible int
	// Exposed is the number of instances that have outlived lost runs of the request so far, and may still end of
	// them. Refused is the number of those that only refused the request.
	Exposed, Refused int
	// Missed is 1 if an instance ended under the request, or closed all its connections, and a gateway that was lost may have
	// run it before, without a record.
	Missed int
	// OpenFor is how long it may take until it is known of one of the possible ones whether it ended; 0 if that
	// will not become known.
	OpenFor time.Duration
}

// Standing returns what counts against a request, without the run with the given id.
func (t *Table) Standing(now time.Time, key Key, without string) Standing {
	known := t.records[key]
	if known == nil || known.hasExpired(now) {
		return Standing{}
	}
	runs := slices.DeleteFunc(slices.Clone(known.runs), func(run knownRun) bool { return run.ID == without })
	standing := Standing{Ended: countIncarnations(runs, Ended)}
	standing.Possible = countIncarnations(runs, Ended, Silent, Running) - standing.Ended
	if slices.ContainsFunc(runs, knownRun.hasClosed) && t.mayMissRunOf(known) {
		standing.Missed = 1
	}
	standing.Exposed = len(exposedInstances(now, runs))
	standing.Refused = standing.Exposed - len(exposedInstances(now, slices.DeleteFunc(slices.Clone(runs), func(run knownRun) bool { return run.IsRefused() })))
	for _, run := range runs {
		openFor := run.openFor(now)
		if run.Outcome.isOpen() && openFor > 0 && (standing.OpenFor == 0 || openFor < standing.OpenFor) {
			standing.OpenFor = openFor
		}
	}
	return standing
}

// StandingWithUnsettled returns what counts against a request while the given attempts of its program have not ended. If
// instances have ended under the request, or closed all their connections, one attempt without a known run counts as
// another possible end: its gateway may have been killed amid the run. Attempts in progress end, and then count no more.
func (t *Table) StandingWithUnsettled(now time.Time, key Key, without string, unsettled []string) Standing {
	standing := t.Standing(now, key, without)
	known := t.records[key]
	hasClosed := func(run knownRun) bool { return run.ID != without && run.hasClosed() }
	if standing.Ended+standing.Possible == 0 || !slices.ContainsFunc(known.runs, hasClosed) {
		return standing
	}
	hasRun := func(attempt string) bool {
		return slices.ContainsFunc(known.runs, func(run knownRun) bool { return run.isOf(attempt) })
	}
	if !slices.ContainsFunc(unsettled, func(attempt string) bool { return !hasRun(attempt) }) {
		return standing
	}
	standing.Possible++
	standing.OpenFor = max(standing.OpenFor, min(maxUnsettledRetry, openTTL-now.Sub(known.changedAt)))
	return standing
}

// countIncarnations returns the number of different instances among the runs with one of the outcomes.
func countIncarnations(runs []knownRun, outcomes ...Outcome) int {
	counted := map[incarnation]bool{}
	for _, run := range runs {
		if slices.Contains(outcomes, run.Outcome) {
			counted[run.incarnation()] = true
		}
	}
	return len(counted)
}

// Exposed returns the instances that have outlived lost runs of a request so far, and may still end of them. The run with
// the given id is left out.
func (t *Table) Exposed(now time.Time, key Key, without string) []string {
	known := t.records[key]
	if known == nil || known.hasExpired(now) {
		return nil
	}
	return exposedInstances(now, slices.DeleteFunc(slices.Clone(known.runs), func(run knownRun) bool { return run.ID == without }))
}

// exposedInstances returns the instances that may still end of runs that they outlived. Those with an open run, or with a
// late end of the same run, are left out: these count.
func exposedInstances(now time.Time, runs []knownRun) []string {
	var instances []string
	for _, run := range runs {
		if !run.IsExposed() || now.Sub(run.since) >= run.ExposedFor() || slices.Contains(instances, run.Instance) {
			continue
		}
		isCleared := func(other knownRun) bool {
			if other.Instance != run.Instance {
				return false
			}
			return other.ID == run.AsLate().ID || other.Outcome.isOpen() || other.IsExposed() && now.Sub(other.since) >= provenTTL
		}
		if !slices.ContainsFunc(runs, isCleared) {
			instances = append(instances, run.Instance)
		}
	}
	return instances
}

// Verdict is the decision on sending a request.
type Verdict uint8

const (
	// Clear means that nothing counts against the request.
	Clear Verdict = iota
	// Suspect means that instances ended, or may have ended, under the request, but too few to stop it.
	Suspect
	// Withheld means that the request must not be sent unless some instances turn out to be alive.
	Withheld
	// Quarantined means that the request must not be sent any more.
	Quarantined
)

// String returns the name used in logs.
func (v Verdict) String() string {
	return [...]string{"clear", "suspect", "withheld", "quarantined"}[v]
}

// Verdict decides on a request under which at most limit instances may end.
func (s Standing) Verdict(limit int) Verdict {
	switch {
	case s.Ended >= limit:
		return Quarantined
	case s.Ended+s.Possible >= limit && s.OpenFor > 0:
		return Withheld
	case s.Ended+s.Possible >= limit:
		return Quarantined
	case s.Ended+s.Possible+s.Exposed > 0:
		return Suspect
	default:
		return Clear
	}
}

// IsConfined reports whether a request under which at most limit instances may end may be sent only to instances that may
// end of it already.
func (s Standing) IsConfined(limit int) bool {
	return s.Exposed > 0 && s.Ended+s.Possible+s.Exposed >= limit
}

// IsOnlyRefused reports whether nothing but refusals is known of the request. Those of full instances are ordinary.
func (s Standing) IsOnlyRefused() bool {
	return s.Exposed > 0 && s.Ended+s.Possible+s.Exposed == s.Refused
}

// Stops reports whether the request must not be sent now.
func (v Verdict) Stops() bool { return v == Withheld || v == Quarantined }
