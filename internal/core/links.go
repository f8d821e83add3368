package core

// linkWindow is how far out of order an envelope may arrive and still count.
const linkWindow = 1024

// keptIncarnations is for how many incarnations of a node arrivals are remembered.
const keptIncarnations = 3

// linkTable numbers outgoing envelopes and drops incoming ones that were seen
// before, so that a packet which the network repeats acts once.
type linkTable struct {
	self        string
	incarnation uint64
	sent        map[string]uint64
	// received holds the windows of each node's latest incarnations, newest last.
	received map[string][]*receiveWindow
}

// receiveWindow remembers which of the newest linkWindow sequence numbers of one
// incarnation have arrived.
type receiveWindow struct {
	incarnation uint64
	highest     uint64
	seen        [linkWindow]bool
}

func newLinkTable(self string, incarnation uint64) *linkTable {
	return &linkTable{self: self, incarnation: incarnation, sent: map[string]uint64{}, received: map[string][]*receiveWindow{}}
}

func (t *linkTable) wrap(to string, message any) Envelope {
	t.sent[to]++
	return Envelope{From: t.self, Incarnation: t.incarnation, Sequence: t.sent[to], Message: message}
}

// accept reports whether the envelope is new. One that is older than the window
// is dropped: it may have been seen.
func (t *linkTable) accept(envelope Envelope) bool {
	windows := t.received[envelope.From]
	for _, window := range windows {
		if window.incarnation == envelope.Incarnation {
			return window.accept(envelope.Sequence)
		}
	}
	window := &receiveWindow{incarnation: envelope.Incarnation}
	windows = append(windows, window)
	if len(windows) > keptIncarnations {
		windows = windows[1:]
	}
	t.received[envelope.From] = windows
	return window.accept(envelope.Sequence)
}

func (w *receiveWindow) accept(sequence uint64) bool {
	if sequence+linkWindow <= w.highest {
		return false
	}
	for w.highest < sequence {
		w.highest++
		w.seen[w.highest%linkWindow] = false
	}
	slot := &w.seen[sequence%linkWindow]
	if *slot {
		return false
	}
	*slot = true
	return true
}
