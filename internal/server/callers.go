package server

import (
	"sync"

	"swiftbank.dev/swiftbank/internal/core"
)

// callerTable holds the requests of local callers that wait for an answer.
type callerTable struct {
	// incarnation is this process's; text for an earlier one is dropped.
	incarnation uint64

	mu      sync.Mutex
	next    uint64
	waiting map[uint64]*callerState
}

// callerState collects what arrives for one caller. The answer's text may come
// in pieces before the final reply; the reply is authoritative.
type callerState struct {
	mu   sync.Mutex
	base int64
	// text is the part of the answer known from base on.
	text          []byte
	streamAttempt int
	reply         *core.Reply
	wake          chan struct{}
}

func newCallerTable(incarnation uint64) *callerTable {
	return &callerTable{incarnation: incarnation, waiting: map[uint64]*callerState{}}
}

// add registers a caller that wants the answer's text from an offset.
func (t *callerTable) add(base int64) (uint64, *callerState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.next++
	state := &callerState{base: base, wake: make(chan struct{}, 1)}
	t.waiting[t.next] = state
	return t.next, state
}

func (t *callerTable) remove(requestID uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.waiting, requestID)
}

func (t *callerTable) find(requestID uint64) *callerState {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.waiting[requestID]
}

// finish hands over the final reply.
func (t *callerTable) finish(requestID uint64, reply core.Reply) {
	state := t.find(requestID)
	if state == nil {
		return
	}
	state.mu.Lock()
	state.reply = &reply
	state.mu.Unlock()
	state.signal()
}

// chunk adds a piece of text if it continues what is known. Pieces of another
// generation are left out: the final reply sorts that out.
func (t *callerTable) chunk(chunk streamChunk) {
	state := t.find(chunk.RequestID)
	if state == nil || chunk.Incarnation != t.incarnation {
		return
	}
	if state.accept(chunk) {
		state.signal()
	}
}

func (c *callerState) accept(chunk streamChunk) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.text) == 0 {
		c.streamAttempt = chunk.StreamAttempt
	}
	known := c.base + int64(len(c.text))
	end := chunk.Offset + int64(len(chunk.Text))
	if chunk.StreamAttempt != c.streamAttempt || chunk.Offset > known || end <= known {
		return false
	}
	c.text = append(c.text, chunk.Text[known-chunk.Offset:]...)
	return true
}

func (c *callerState) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// snapshot returns the text known after the first sent bytes, and the reply if there is one.
func (c *callerState) snapshot(sent int) (fresh []byte, reply *core.Reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.text[sent:], c.reply
}
