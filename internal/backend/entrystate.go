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

// EntryStateOf compares an instance, as known at the given time, with the list. life is the life that was contacted then,
// nil if it is unknown: the list may show its start only later.
func (d *Directory) EntryStateOf(instance Instance, life *Life, at time.Time) EntryState {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := d.members[instance.ID]
	switch {
	case m == nil && d.addresses[instance.Address] != "", m != nil && m.instance.hasReplaced(instance, life, at):
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

// hasReplaced reports whether the listed instance is another life than the one that was known at the given time.
func (i Instance) hasReplaced(known Instance, life *Life, at time.Time) bool {
	if life != nil && i.Born != 0 && i.Address == known.Address && !i.startedAfter(life.began) {
		return false
	}
	return hasRestarted(known, i) || i.startedAfter(at)
}

// startedAfter reports whether the instance says that it started after the given time. The clocks of two machines may
// differ, which matters only for an instance that had just started.
func (i Instance) startedAfter(at time.Time) bool {
	return i.Born != 0 && i.Born > uint64(at.UnixMilli())
}
