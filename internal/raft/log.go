package raft

// entryLog holds the entries after a compaction point. The entry at offset
// itself is gone; its term is kept to match the next entry against.
type entryLog struct {
	offset     uint64
	offsetTerm uint64
	entries    []Entry
	// memberships are the membership entries in the log by rising index. The
	// first one is that in force at offset.
	memberships []membershipRecord
}

type membershipRecord struct {
	index      uint64
	membership Membership
}

func newEntryLog(initial Membership) entryLog {
	return entryLog{memberships: []membershipRecord{{membership: initial}}}
}

func (l *entryLog) firstIndex() uint64 { return l.offset + 1 }

func (l *entryLog) lastIndex() uint64 { return l.offset + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 { return l.term(l.lastIndex()) }

// term returns the term of an entry, or zero when the index is not held.
func (l *entryLog) term(index uint64) uint64 {
	if index == l.offset {
		return l.offsetTerm
	}
	if index < l.offset || index > l.lastIndex() {
		return 0
	}
	return l.entries[index-l.offset-1].Term
}

// matches reports whether the log agrees with (index, term). Compacted entries
// were committed, so they agree with any leader's log.
func (l *entryLog) matches(index, term uint64) bool {
	return index < l.offset || l.term(index) == term
}

func (l *entryLog) upToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.lastIndex()
}

// slice returns the entries from first to last, both included. The result is a
// copy, since it travels in messages while the log goes on changing.
func (l *entryLog) slice(first, last uint64) []Entry {
	if first > last {
		return nil
	}
	return append([]Entry(nil), l.entries[first-l.offset-1:last-l.offset]...)
}

func (l *entryLog) append(entry Entry) {
	l.entries = append(l.entries, entry)
	if entry.Membership != nil {
		l.memberships = append(l.memberships, membershipRecord{entry.Index, *entry.Membership})
	}
}

func (l *entryLog) truncateFrom(index uint64) {
	l.entries = l.entries[:index-l.offset-1]
	for len(l.memberships) > 1 && l.memberships[len(l.memberships)-1].index >= index {
		l.memberships = l.memberships[:len(l.memberships)-1]
	}
}

func (l *entryLog) membership() Membership {
	return l.memberships[len(l.memberships)-1].membership
}

func (l *entryLog) membershipIndex() uint64 {
	return l.memberships[len(l.memberships)-1].index
}

func (l *entryLog) membershipAt(index uint64) Membership {
	found := l.memberships[0].membership
	for _, record := range l.memberships {
		if record.index <= index {
			found = record.membership
		}
	}
	return found
}

func (l *entryLog) compact(index uint64) {
	if index <= l.offset {
		return
	}
	inForce := membershipRecord{l.offset, l.membershipAt(index)}
	kept := []membershipRecord{inForce}
	for _, record := range l.memberships {
		if record.index > index {
			kept = append(kept, record)
		} else {
			kept[0].index = record.index
		}
	}
	l.memberships = kept
	l.offsetTerm = l.term(index)
	l.entries = append([]Entry(nil), l.entries[index-l.offset:]...)
	l.offset = index
}

func (l *entryLog) restore(snapshot Snapshot) {
	l.offset = snapshot.Index
	l.offsetTerm = snapshot.Term
	l.entries = nil
	l.memberships = []membershipRecord{{snapshot.Index, snapshot.Membership}}
}
