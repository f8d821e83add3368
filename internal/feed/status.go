package feed

import "time"

const (
	// staleAfter is the age above which data counts as stale. A reader confirms its data
	// every probeInterval, within probeTimeout, and each of two hops through upstreams adds
	// a pollInterval: 2.5 s when no message is lost.
	staleAfter = 3 * time.Second
	// incompleteAfterRecovery is how long, after the store is reachable again, a list of
	// instances may lack instances that are alive. It is short because possibly only the path
	// from this process to the store failed; instances that leave the list then are really gone.
	incompleteAfterRecovery = time.Second
)

// Status describes how current and complete the data of a process is.
type Status struct {
	// Confirmed is set when the data was read from the store by a process that is still
	// running and reached this one through running processes. Otherwise it may come from a
	// copy on disk.
	Confirmed bool
	// Lost is set while the store does not answer the process that reads it.
	Lost bool
	// Incomplete is set while the store is lost and for incompleteAfterRecovery afterwards:
	// entries of instances that could not renew them may be missing.
	Incomplete bool
	// Age is the time since the store last sent or confirmed the data of the process that
	// reads it.
	Age time.Duration
}

// Fresh reports whether the data is confirmed, the store reachable and the age at most
// staleAfter, so that it may be used as if read from the store.
func (s Status) Fresh() bool { return s.Confirmed && !s.Lost && s.Age <= staleAfter }

// agedBy returns the status with its age increased by the elapsed time.
func (s Status) agedBy(elapsed time.Duration) Status {
	s.Age += elapsed
	return s
}

// betterThan reports whether the status describes more reliable data than another one.
func (s Status) betterThan(other Status) bool {
	if s.Confirmed != other.Confirmed {
		return s.Confirmed
	}
	if s.Lost != other.Lost {
		return !s.Lost
	}
	return s.Age < other.Age
}

// readerStatus tracks the status of a process that reads the store itself.
type readerStatus struct {
	// kinds are the kinds that the process reads.
	kinds []Kind
	// confirmed is set for the kinds that the store has sent or confirmed since reading began.
	confirmed   [kindCount]bool
	confirmedAt time.Time
	lost        bool
	recoveredAt time.Time
}

// confirm records that the data of a kind matches the store.
func (r *readerStatus) confirm(now time.Time, kind Kind) {
	r.confirmed[kind] = true
	r.confirmedAt = now
}

// setLost records that the store stopped answering or answers again.
func (r *readerStatus) setLost(now time.Time, lost bool) {
	if r.lost && !lost {
		r.recoveredAt = now
	}
	r.lost = lost
}

// status returns the status of the data that this process read itself. It is zero until every
// kind is confirmed.
func (r *readerStatus) status(now time.Time) Status {
	for _, kind := range r.kinds {
		if !r.confirmed[kind] {
			return Status{}
		}
	}
	recovering := !r.recoveredAt.IsZero() && now.Sub(r.recoveredAt) < incompleteAfterRecovery
	return Status{Confirmed: true, Lost: r.lost, Incomplete: r.lost || recovering, Age: now.Sub(r.confirmedAt)}
}
