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
	node      string
	requestID uint64
	sent      int64
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
	added := subscriber{node: action.Node, requestID: action.RequestID, sent: action.Offset}
	for i := range stream.subscribers {
		known := &stream.subscribers[i]
		if known.node == added.node && known.requestID == added.requestID {
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
		RequestID: to.requestID, StreamAttempt: stream.streamAttempt,
		Offset: to.sent, Text: string(stream.text[to.sent:]),
	}
	to.sent = int64(len(stream.text))
	if to.node == t.node {
		t.callers.chunk(chunk)
		return
	}
	t.peers.send(to.node, frame{Chunk: &chunk})
}
