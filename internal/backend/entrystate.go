package backend

import "time"

// EntryState is what the list says about an instance that was known before.
type EntryState uint8

const (
	// EntryListed means that the instance is listed unchanged.
	EntryListed EntryState = iota
	// EntryMissing means that the instance is missing from a list that may be incomplete.
	EntryMissing
	// EntryLeaving means that the instance has announced that it leaves.
	EntryLeaving
	// EntryGone means that the instance is no longer listed. It left without an announcement, and may still
	// finish its requests, or it stopped renewing its entry.
	EntryGone
	// EntryReplaced means that the instance has started again, or that another one is listed at its address.
	EntryReplaced
)

// String returns the name used in logs.
func (e EntryState) String() string {
	return [...]string{"listed", "missing", "leaving", "gone", "replaced"}[e]
}

// EntryStateOf compares an instance, as known at the given time, with the list.
func (d *Directory) EntryStateOf(instance Instance, at time.Time) EntryState {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := d.members[instance.ID]
	switch {
	case m == nil && d.addresses[instance.Address] != "", m != nil && (hasRestarted(instance, m.instance) || m.instance.startedAfter(at)):
		return EntryReplaced
	case m == nil:
		return EntryGone
	case m.instance.Leaving:
		return EntryLeaving
	case d.unlisted[instance.ID]:
		return EntryMissing
	default:
		return EntryListed
	}
}

// startedAfter reports whether the instance says that it started after the given time. The clocks of two machines may
// differ, which matters only for an instance that had just started.
func (i Instance) startedAfter(at time.Time) bool {
	return i.Born != 0 && i.Born > uint64(at.UnixMilli())
}
