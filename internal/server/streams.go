package server

import (
	"sync"

	"swiftbank.dev/swiftbank/internal/core"
	"swiftbank.dev/swiftbank/internal/shard"
)

// streamTable holds the text of the attempts that this node dispatches and sends
// it to the gateways of those who wait. It is best effort: what does not arrive
// here comes with the final answer.
type streamTable struct {
	node    string
	callers *callerTable
	peers   *peerTransport

	mu      sync.Mutex
	streams map[shard.AttemptID]*attemptStream
}

type attemptStream struct {
	streamAttempt int
	text          []byte
	subscribers   []subscriber
}

type subscriber struct {
	caller core.CallerReference
	sent   int64
}

func newStreamTable(node string, callers *callerTable, peers *peerTransport) *streamTable {
	return &streamTable{node: node, callers: callers, peers: peers, streams: map[shard.AttemptID]*attemptStream{}}
}

// open begins the text of an attempt.
func (t *streamTable) open(attempt shard.AttemptID, streamAttempt int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.streams[attempt] = &attemptStream{streamAttempt: streamAttempt}
}

// close forgets the text; the final answer has all of it.
func (t *streamTable) close(attempt shard.AttemptID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.streams, attempt)
}

// append adds text to an attempt and sends it on.
func (t *streamTable) append(attempt shard.AttemptID, text string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	stream := t.streams[attempt]
	if stream == nil {
		return
	}
	stream.text = append(stream.text, text...)
	for i := range stream.subscribers {
		t.deliver(stream, &stream.subscribers[i])
	}
}

// bind adds a requester to an attempt, from an offset.
func (t *streamTable) bind(action core.BindStream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	stream := t.streams[action.Attempt]
	if stream == nil {
		return
	}
	added := subscriber{caller: action.Caller, sent: action.Caller.Offset}
	for i := range stream.subscribers {
		known := &stream.subscribers[i]
		if known.caller == added.caller {
			return
		}
	}
	stream.subscribers = append(stream.subscribers, added)
	t.deliver(stream, &stream.subscribers[len(stream.subscribers)-1])
}

func (t *streamTable) deliver(stream *attemptStream, to *subscriber) {
	if to.sent >= int64(len(stream.text)) {
		return
	}
	chunk := streamChunk{
		Incarnation: to.caller.Incarnation, RequestID: to.caller.RequestID, StreamAttempt: stream.streamAttempt,
		Offset: to.sent, Text: string(stream.text[to.sent:]),
	}
	to.sent = int64(len(stream.text))
	if to.caller.Node == t.node {
		t.callers.chunk(chunk)
		return
	}
	t.peers.send(to.caller.Node, frame{Chunk: &chunk})
}
