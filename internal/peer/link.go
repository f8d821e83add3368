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
	// maxQueuedMessages is how many messages may be queued for a connection's writer. The queue
	// grows on demand, because a replica has a connection from every gateway.
	maxQueuedMessages = 8192
	// maxSpareMessages is the largest queue capacity that a connection keeps for reuse.
	maxSpareMessages = 64
	// bufferBytes is the size of the write buffer and of the read buffer of a connection.
	bufferBytes = 8 << 10
	// redialDelay is the delay before the next attempt to connect to a peer.
	redialDelay = 100 * time.Millisecond
)

// Handler receives the events of a link. The link calls its methods from its own goroutine, one at
// a time.
type Handler[Receive any] interface {
	// LinkUp reports a new connection. Messages sent on earlier ones may be lost.
	LinkUp()
	// LinkDown reports that the connection ended.
	LinkDown(err error)
	// Received delivers one message.
	Received(message Receive)
}

// SentCounter is an optional interface of a Handler. The connection's writer goroutine calls Sent
// with the encoded size of each message.
type SentCounter[Send any] interface {
	Sent(to net.Addr, message Send, bytes int)
}

// Link maintains a connection to one peer and reconnects when it ends.
type Link[Send, Receive any] struct {
	address string
	handler Handler[Receive]
	cancel  context.CancelFunc
	running conc.WaitGroup

	mu     sync.Mutex
	sender *sender[Send]
}

// NewLink starts a link that runs until Close or until the context ends.
func NewLink[Send, Receive any](ctx context.Context, address string, handler Handler[Receive]) *Link[Send, Receive] {
	ctx, cancel := context.WithCancel(ctx)
	link := &Link[Send, Receive]{address: address, handler: handler, cancel: cancel}
	link.running.Go(func() { link.run(ctx) })
	return link
}

// Send queues a message. It returns false if there is no connection or its queue is full. A true
// result does not mean that the peer received the message.
func (l *Link[Send, Receive]) Send(message Send) bool {
	l.mu.Lock()
	sender := l.sender
	l.mu.Unlock()
	return sender != nil && sender.send(message)
}

// Reconnect closes the current connection, so that the link dials a new one. A peer that no longer
// answers on one connection may answer on another.
func (l *Link[Send, Receive]) Reconnect() {
	l.mu.Lock()
	sender := l.sender
	l.mu.Unlock()
	if sender != nil {
		sender.close()
	}
}

// Close stops the link and waits for its goroutine. It must not be called from the handler.
func (l *Link[Send, Receive]) Close() {
	l.cancel()
	l.running.Wait()
}

// CloseAsync stops the link without waiting for its goroutine.
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

// serve delivers the messages of a connection to the handler until the connection ends.
func (l *Link[Send, Receive]) serve(ctx context.Context, connection net.Conn) error {
	stop := context.AfterFunc(ctx, func() { _ = connection.Close() })
	defer stop()
	var onSent func(net.Addr, Send, int)
	if counter, ok := l.handler.(SentCounter[Send]); ok {
		onSent = counter.Sent
	}
	sender := newSender(connection, nil, onSent)
	l.setSender(sender)
	defer l.setSender(nil)
	defer sender.close()
	l.handler.LinkUp()
	decoder := NewDecoder(connection)
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

// sender encodes queued messages and writes all of them in one batch.
type sender[Send any] struct {
	connection net.Conn
	// onSent is called with the size of each encoded message; it may be nil.
	onSent func(to net.Addr, message Send, bytes int)
	// budget bounds the bytes queued on this connection and others that share it.
	budget *Budget
	// wake is signaled when messages are queued.
	wake   chan struct{}
	closed chan struct{}
	once   sync.Once

	mu    sync.Mutex
	queue []Send
	// spare is the slice of the last written batch, kept for reuse.
	spare []Send
	// stopped is set when the writer has stopped.
	stopped bool
}

func newSender[Send any](connection net.Conn, budget *Budget, onSent func(net.Addr, Send, int)) *sender[Send] {
	s := &sender[Send]{connection: connection, budget: budget, onSent: onSent, wake: make(chan struct{}, 1), closed: make(chan struct{})}
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

// enqueue appends the message to the queue. It returns false if the writer has stopped, the queue
// is full or the budget is exhausted.
func (s *sender[Send]) enqueue(message Send) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped || len(s.queue) >= maxQueuedMessages || !s.budget.TryAcquire(bytesOf(message)) {
		return false
	}
	s.queue = append(s.queue, message)
	return true
}

func (s *sender[Send]) close() {
	s.once.Do(func() {
		close(s.closed)
		_ = s.connection.Close()
	})
}

// discardQueue discards the queued messages and releases their bytes after the writer has stopped.
func (s *sender[Send]) discardQueue() {
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	s.release(s.drain())
}

func (s *sender[Send]) run() {
	defer s.discardQueue()
	defer s.close()
	buffer := bufio.NewWriterSize(s.connection, bufferBytes)
	counted := &countingWriter{writer: buffer}
	encoder := gob.NewEncoder(counted)
	for {
		select {
		case <-s.closed:
			return
		case <-s.wake:
		}
		for batch := s.drain(); len(batch) > 0; batch = s.drain() {
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

// encode encodes a batch into the connection's write buffer.
func (s *sender[Send]) encode(encoder *gob.Encoder, counted *countingWriter, batch []Send) error {
	for _, message := range batch {
		if err := encoder.Encode(message); err != nil {
			return err
		}
		if size := counted.resetCount(); s.onSent != nil {
			s.onSent(s.connection.RemoteAddr(), message, size)
		}
	}
	return nil
}

// release returns the bytes of a batch to the budget. It is called once the whole batch is written,
// because the batch and the buffer hold its messages until then.
func (s *sender[Send]) release(batch []Send) {
	for _, message := range batch {
		s.budget.Release(bytesOf(message))
	}
	s.reuse(batch)
}

// drain removes and returns all queued messages.
func (s *sender[Send]) drain() []Send {
	s.mu.Lock()
	defer s.mu.Unlock()
	batch := s.queue
	s.queue, s.spare = s.spare, nil
	return batch
}

// reuse keeps the slice of a written batch for the next messages, unless it is large.
func (s *sender[Send]) reuse(batch []Send) {
	if cap(batch) > maxSpareMessages {
		return
	}
	clear(batch)
	s.mu.Lock()
	s.spare = batch[:0]
	s.mu.Unlock()
}

// countingWriter counts the bytes written through it.
type countingWriter struct {
	writer io.Writer
	bytes  int
}

// Write implements io.Writer.
func (w *countingWriter) Write(data []byte) (int, error) {
	w.bytes += len(data)
	return w.writer.Write(data)
}

// resetCount returns the number of bytes written since the last call.
func (w *countingWriter) resetCount() int {
	bytes := w.bytes
	w.bytes = 0
	return bytes
}
