package ledger

import (
	"cmp"
	"maps"
	"slices"
)

// quarantineChange is the last change of the runs of a request.
type quarantineChange struct {
	name     string
	position uint64
}

// quarantineLog lists the programs that record the runs of requests in the order in which they last changed.
type quarantineLog struct {
	// positions holds the position of the last change of each program; last is that of all.
	positions map[string]uint64
	last      uint64
	// changes are in the order of their positions. Those that are not the last one of their program are ignored.
	changes []quarantineChange
}

// minQuarantineChanges is the number of changes from which on ignored ones are dropped.
const minQuarantineChanges = 64

func newQuarantineLog() quarantineLog { return quarantineLog{positions: map[string]uint64{}} }

// add records that the runs of a program changed.
func (l *quarantineLog) add(name string) {
	l.last++
	l.positions[name] = l.last
	l.changes = append(l.changes, quarantineChange{name: name, position: l.last})
	if len(l.changes) > minQuarantineChanges+2*len(l.positions) {
		l.compact()
	}
}

// after returns the last changes of the programs that changed after a position.
func (l *quarantineLog) after(position uint64) []quarantineChange {
	from, _ := slices.BinarySearchFunc(l.changes, position+1, func(change quarantineChange, target uint64) int {
		return cmp.Compare(change.position, target)
	})
	var latest []quarantineChange
	for _, change := range l.changes[from:] {
		if l.positions[change.name] == change.position {
			latest = append(latest, change)
		}
	}
	return latest
}

// drop forgets programs.
func (l *quarantineLog) drop(isGone func(name string) bool) {
	maps.DeleteFunc(l.positions, func(name string, _ uint64) bool { return isGone(name) })
	l.compact()
}

func (l *quarantineLog) compact() {
	l.changes = slices.DeleteFunc(l.changes, func(change quarantineChange) bool { return l.positions[change.name] != change.position })
}
