package peer

import (
	"bufio"
	"context"
	"encoding/gob"
	"io"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"swiftbank.dev/swiftbank/internal/wait"
)

const (
	// queueMessages is how many messages may wait for a connection's writer. Room for
	// them is made as they come: a replica has a connection from every gateway.
	queueMessages = 8192
	// keptMessages is the room that a connection keeps for the next messages.
	keptMessages = 64
	// bufferBytes is the size of the buffers before encoder and decoder.
	bufferBytes = 8 << 10
	// redialDelay is the pause before the next try to reach a peer.
	redialDelay = 100 * time.Millisecond
)

// Handler receives what happens on a link. Its methods are called from the link's
// own goroutine, one at a time.
type Handler[Receive any] interface {
	// LinkUp says that a new connection stands; earlier messages may be lost.
	LinkUp()
	// LinkDown says that the connection ended.
	LinkDown(err error)
	// Received hands over one message.
	Received(message Receive)
}

// SentCounter is what a Handler may be as well: it is told of the size of each message that
// was written, from the connection's writer.
type SentCounter[Send any] interface {
	Sent(to net.Addr, message Send, bytes int)
}

// Link keeps a connection to one peer and dials again when it ends.
type Link[Send, Receive any] struct {
	address string
	handler Handler[Receive]
	cancel  context.CancelFunc
	running conc.WaitGroup

	mu     sync.Mutex
	sender *sender[Send]
}

// NewLink starts a link that lives until Close or until the context ends.
func NewLink[Send, Receive any](ctx context.Context, address string, handler Handler[Receive]) *Link[Send, Receive] {
	ctx, cancel := context.WithCancel(ctx)
	link := &Link[Send, Receive]{address: address, handler: handler, cancel: cancel}
	link.running.Go(func() { link.run(ctx) })
	return link
}

// Send queues a message. It reports false when there is no connection or its
// queue is full; a true result does not mean that the peer received it.
func (l *Link[Send, Receive]) Send(message Send) bool {
	l.mu.Lock()
	sender := l.sender
	l.mu.Unlock()
	return sender != nil && sender.send(message)
}

// Reconnect ends the present connection, and the link dials again: what fell silent on it may be
// answered on a new one.
func (l *Link[Send, Receive]) Reconnect() {
	l.mu.Lock()
	sender := l.sender
	l.mu.Unlock()
	if sender != nil {
		sender.close()
	}
}

// Close ends the link and waits for its goroutines. It must not be called from
// the handler.
func (l *Link[Send, Receive]) Close() {
	l.cancel()
	l.running.Wait()
}

// CloseAsync ends the link without waiting.
func (l *Link[Send, Receive]) CloseAsync() { l.cancel() }

func (l *Link[Send, Receive]) run(ctx context.Context) {
	for ctx.Err() == nil {
		connection, err := Dialer(dialTimeout).DialContext(ctx, "tcp", l.address)
		if err == nil {
			err = l.serve(ctx, connection)
			l.handler.LinkDown(err)
		}
		wait.For(ctx, redialDelay)
	}
}

// serve reads the connection until it ends.
func (l *Link[Send, Receive]) serve(ctx context.Context, connection net.Conn) error {
	stop := context.AfterFunc(ctx, func() { _ = connection.Close() })
	defer stop()
	var sent func(net.Addr, Send, int)
	if counter, counts := l.handler.(SentCounter[Send]); counts {
		sent = counter.Sent
	}
	sender := newSender(connection, nil, sent)
	l.setSender(sender)
	defer l.setSender(nil)
	defer sender.close()
	l.handler.LinkUp()
	decoder := gob.NewDecoder(bufio.NewReaderSize(connection, bufferBytes))
	for {
		var message Receive
		if err := decoder.Decode(&message); err != nil {
			return err
		}
		l.handler.Received(message)
	}
}

func (l *Link[Send, Receive]) setSender(sender *sender[Send]) {
	l.mu.Lock()
	l.sender = sender
	l.mu.Unlock()
}

// sender encodes queued messages and writes all that wait in one call.
type sender[Send any] struct {
	connection net.Conn
	// sent is told of each message's size, or nil.
	sent func(to net.Addr, message Send, bytes int)
	// budget bounds the bytes that wait, of this connection and others.
	budget *Budget
	// wake is signalled when messages wait.
	wake   chan struct{}
	closed chan struct{}
	once   sync.Once

	mu      sync.Mutex
	waiting []Send
	// spare is the room of the messages written last.
	spare []Send
	// ended is set when nothing is written any more.
	ended bool
}

func newSender[Send any](connection net.Conn, budget *Budget, sent func(net.Addr, Send, int)) *sender[Send] {
	s := &sender[Send]{connection: connection, budget: budget, sent: sent, wake: make(chan struct{}, 1), closed: make(chan struct{})}
	go s.run()
	return s
}

func (s *sender[Send]) send(message Send) bool {
	select {
	case <-s.closed:
		return false
	default:
	}
	if !s.enqueue(message) {
		return false
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return true
}

// enqueue reports whether there was room for the message.
func (s *sender[Send]) enqueue(message Send) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended || len(s.waiting) >= queueMessages || !s.budget.TryAcquire(bytesOf(message)) {
		return false
	}
	s.waiting = append(s.waiting, message)
	return true
}

func (s *sender[Send]) close() {
	s.once.Do(func() {
		close(s.closed)
		_ = s.connection.Close()
	})
}

// drop gives back the room of messages that will not be written any more.
func (s *sender[Send]) drop() {
	s.mu.Lock()
	s.ended = true
	s.mu.Unlock()
	s.release(s.take())
}

func (s *sender[Send]) run() {
	defer s.drop()
	defer s.close()
	buffer := bufio.NewWriterSize(s.connection, bufferBytes)
	counted := &countingWriter{to: buffer}
	encoder := gob.NewEncoder(counted)
	for {
		select {
		case <-s.closed:
			return
		case <-s.wake:
		}
		for batch := s.take(); len(batch) > 0; batch = s.take() {
			err := s.encode(encoder, counted, batch)
			if err == nil {
				err = buffer.Flush()
			}
			s.release(batch)
			if err != nil {
				return
			}
		}
	}
}

// encode writes a batch to the buffer before the connection.
func (s *sender[Send]) encode(encoder *gob.Encoder, counted *countingWriter, batch []Send) error {
	for _, message := range batch {
		if err := encoder.Encode(message); err != nil {
			return err
		}
		if size := counted.take(); s.sent != nil {
			s.sent(s.connection.RemoteAddr(), message, size)
		}
	}
	return nil
}

// release returns to the budget what a batch held. Until its last byte is written, the batch and
// the buffer hold its messages.
func (s *sender[Send]) release(batch []Send) {
	for _, message := range batch {
		s.budget.Release(bytesOf(message))
	}
	s.reuse(batch)
}

// take returns all messages that wait.
func (s *sender[Send]) take() []Send {
	s.mu.Lock()
	defer s.mu.Unlock()
	batch := s.waiting
	s.waiting, s.spare = s.spare, nil
	return batch
}

// reuse keeps the room of written messages for the next ones, unless it is large.
func (s *sender[Send]) reuse(batch []Send) {
	if cap(batch) > keptMessages {
		return
	}
	clear(batch)
	s.mu.Lock()
	s.spare = batch[:0]
	s.mu.Unlock()
}

// countingWriter counts the bytes of a message.
type countingWriter struct {
	to    io.Writer
	bytes int
}

// Write implements io.Writer.
func (w *countingWriter) Write(part []byte) (int, error) {
	w.bytes += len(part)
	return w.to.Write(part)
}

// take returns what was written since the last call.
func (w *countingWriter) take() int {
	bytes := w.bytes
	w.bytes = 0
	return bytes
}
