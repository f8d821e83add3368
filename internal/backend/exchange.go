package backend

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"swiftbank.dev/swiftbank/internal/httpanswer"
	"swiftbank.dev/swiftbank/internal/quarantine"
	"swiftbank.dev/swiftbank/internal/verdict"
)

const (
	// maxInlineBody is the size in bytes up to which a body is written before the response is read.
	// A larger one is written concurrently, because an instance may respond early.
	maxInlineBody = 2 << 10
	// maxHeads is how many response heads are read to find the one that belongs to the request, maxHeadBytes the
	// size of one.
	maxHeads     = 3
	maxHeadBytes = 256 << 10
	// maxUnreadBytes is the size of a body that nobody needs up to which it is read, so that the connection can be
	// used again, and maxUnreadTime how long that may take.
	maxUnreadBytes = 256 << 10
	maxUnreadTime  = 250 * time.Millisecond
)

// Call is one request to an instance.
type Call struct {
	Method string
	// Target is the request target exactly as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// IDHeader names the header that matches a response with its request.
	IDHeader string
	// MaySend is called after a connection was obtained, immediately before the request is sent, with the life of the
	// instance that accepted the connection; if it returns false the request is not sent. Nil always allows the send.
	MaySend func(life *Life) bool
	// NewConnection requires a new connection. A pooled one may be dead without any sign except the
	// missing response, so a request that lost a response that way is retried on a new connection.
	NewConnection bool
	// Resend is set if the instance refused the request before. A connection is opened for it only within the
	// instance's budget.
	Resend bool
}

// id returns the id that matches a response with the call.
func (c Call) id() string { return c.Header.Get(c.IDHeader) }

// Failure is an exchange without a usable response. It implements error.
type Failure struct {
	// Verdict says whether the request may have run.
	Verdict verdict.Verdict
	// Unreachable is set when no connection could be opened, or another instance has the address.
	// InstanceDown is set when the instance is known to have ended or to be cut off: connections
	// are refused, another instance has the address, or its machine does not respond.
	Unreachable  bool
	InstanceDown bool
	// NotSent is set when this gateway decided not to send the request.
	NotSent bool
	// NoConnection is set when the instance accepts no further connection from this gateway, as far as is known: the
	// request was not sent, or on a connection that the instance has reset.
	NoConnection bool
	// Contained is set when the request is not sent because instances ended under it.
	Contained quarantine.Verdict
	// AnswerInvalid is set when the gateway gave the answer up because of its length.
	AnswerInvalid bool
	// Restriction is set when a placement rule leaves no instance for the request.
	Restriction Restriction
	Reason      string
	// LocalPort is the port of the connection that the request was sent on; 0 if it was not sent.
	LocalPort int
	// RetryAfter is the time after which an instance may accept the request; zero if unknown.
	RetryAfter time.Duration
}

// Error implements error.
func (f *Failure) Error() string { return f.Reason }

// UnsolicitedAnswer is an answer that arrived where the answer to another request was due.
type UnsolicitedAnswer struct {
	Instance string
	// RequestID is the request whose answer was due, AnswerID the id that the unsolicited answer carries.
	RequestID, AnswerID string
	Status              int
	// LocalPort is the port of the connection.
	LocalPort int
}

// Answer is a response whose head has been read. Finish or Discard must be called.
type Answer struct {
	Response   *http.Response
	Connection *connection

	pool       *Pool
	instance   Instance
	stop       func() bool
	sent       chan error
	unexpected bool
}

// Do sends the call and reads the head of the response. The connection is closed when the context
// ends; instances stop their work when that happens.
func (p *Pool) Do(ctx context.Context, instance Instance, call Call) (*Answer, *Failure) {
	connection, err := p.acquire(ctx, instance, call)
	if errors.Is(err, errNoResend) {
		return nil, &Failure{Verdict: verdict.NotRun, NotSent: true, Reason: err.Error()}
	}
	if errors.Is(err, errNoConnection) {
		return nil, &Failure{Verdict: verdict.NotRun, NotSent: true, NoConnection: true, Reason: err.Error()}
	}
	if err != nil {
		return nil, &Failure{Verdict: verdict.NotRun, Unreachable: ctx.Err() == nil, InstanceDown: errors.Is(err, syscall.ECONNREFUSED), Reason: "connect: " + err.Error()}
	}
	if call.MaySend != nil && !call.MaySend(connection.life) {
		p.putBack(instance, connection)
		return nil, &Failure{Verdict: verdict.NotRun, NotSent: true, Reason: "the send permit expired before the request was sent"}
	}
	connection.recordSend(hashOf(call.id()))
	answer := &Answer{Connection: connection, pool: p, instance: instance, sent: make(chan error, 1)}
	answer.stop = context.AfterFunc(ctx, func() { _ = connection.Close() })
	if err := answer.send(call); err != nil {
		return nil, answer.abort(ctx, "send: ", err)
	}
	if err := answer.readHead(call); err != nil {
		return nil, answer.abort(ctx, "read: ", err)
	}
	connection.life.confirm(time.Now())
	return answer, nil
}

// abort ends an exchange after a connection error. Unless the caller canceled it, or the instance only accepts no further
// connection, the instance's idle connections are withdrawn too.
func (a *Answer) abort(ctx context.Context, step string, err error) *Failure {
	a.Discard()
	failure := &Failure{Verdict: verdict.MayHaveRun, LocalPort: a.LocalPort(), Reason: step + err.Error()}
	switch {
	case ctx.Err() != nil:
	case a.Connection.wasTurnedAway(err):
		failure.NoConnection = true
		a.pool.recordTurnedAway(a.instance)
	default:
		a.pool.retireIdle(a.instance.ID)
	}
	return failure
}

func (a *Answer) send(call Call) error {
	message := encode(call)
	if len(call.Body) <= maxInlineBody {
		_, err := a.Connection.Write(message)
		a.sent <- nil
		return err
	}
	go func() {
		_, err := a.Connection.Write(message)
		a.sent <- err
	}()
	return nil
}

// encode returns the request in HTTP/1.1 wire format.
func encode(call Call) []byte {
	var b bytes.Buffer
	b.Grow(1024 + len(call.Body))
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", call.Method, call.Target, call.Host)
	for name, values := range call.Header {
		for _, value := range values {
			b.WriteString(name)
			b.WriteString(": ")
			b.WriteString(value)
			b.WriteString("\r\n")
		}
	}
	if len(call.Body) > 0 || call.Method != http.MethodGet && call.Method != http.MethodHead {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(call.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	b.Write(call.Body)
	return b.Bytes()
}

// errIDMismatch is returned when no response matches the request.
var errIDMismatch = errors.New("no response carries the id of the request")

// readHead reads response heads until one matches this request. Responses to earlier requests may
// precede it and are discarded.
func (a *Answer) readHead(call Call) error {
	request := &http.Request{Method: call.Method}
	id := call.id()
	for range maxHeads {
		response, err := a.Connection.readHead(request)
		if err != nil {
			return err
		}
		if err := httpanswer.Check(response); err != nil {
			return err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if response.Header.Get(call.IDHeader) == id {
			a.Response = response
			return nil
		}
		a.unexpected = true
		if a.pool.UnsolicitedReceived != nil {
			a.pool.UnsolicitedReceived(UnsolicitedAnswer{Instance: a.instance.ID, RequestID: id, AnswerID: response.Header.Get(call.IDHeader), Status: response.StatusCode, LocalPort: a.LocalPort()})
		}
		if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
			return errIDMismatch // this body ends with the connection, so no further response follows
		}
		if err := readUnneeded(response.Body); err != nil {
			return err
		}
	}
	return errIDMismatch
}

// errBodyTooLong is returned for a body that nobody needs and that is longer than maxUnreadBytes.
var errBodyTooLong = errors.New("the body of an answer that is not needed is too long")

// readUnneeded reads a body that nobody needs to its end.
func readUnneeded(body io.Reader) error {
	read, err := io.Copy(io.Discard, io.LimitReader(body, maxUnreadBytes+1))
	if err == nil && read > maxUnreadBytes {
		return errBodyTooLong
	}
	return err
}

// LocalPort returns the port of the connection, which identifies it in the log.
func (a *Answer) LocalPort() int {
	address, ok := a.Connection.LocalAddr().(*net.TCPAddr)
	if !ok {
		return 0
	}
	return address.Port
}

// Body returns the reader of the response body.
func (a *Answer) Body() io.Reader { return a.Response.Body }

// Buffered returns a buffered reader of the response body, for reading lines.
func (a *Answer) Buffered() *bufio.Reader { return bufio.NewReaderSize(a.Response.Body, readBuffer) }

// Framed reports whether the response delimits its body by a length or by chunked encoding.
func (a *Answer) Framed() bool {
	return a.Response.ContentLength >= 0 || len(a.Response.TransferEncoding) > 0
}

// Finish ends an exchange whose body was read to the end. The connection returns to the pool if its
// state is certain.
func (a *Answer) Finish() {
	if a.Response.Close || !a.Framed() {
		a.stop()
		_ = a.Connection.closeExpired() // the instance has announced that it closes it
		return
	}
	if !a.stop() || a.unexpected || a.Connection.isUsedUp() || a.Connection.reader.Buffered() > 0 || !a.requestSent() {
		_ = a.Connection.Close()
		return
	}
	a.pool.putAnswered(a.instance, a.Connection, keepAliveTimeout(a.Response.Header))
}

// FinishUnread ends an exchange whose body nobody needs. The connection is kept only if the body ends soon.
func (a *Answer) FinishUnread() {
	if a.readUnneeded() != nil {
		a.Discard()
		return
	}
	a.Finish()
}

// readUnneeded reads the rest of the body within maxUnreadTime.
func (a *Answer) readUnneeded() error {
	if err := a.Connection.SetReadDeadline(time.Now().Add(maxUnreadTime)); err != nil {
		return err
	}
	if err := readUnneeded(a.Response.Body); err != nil {
		return err
	}
	return a.Connection.SetReadDeadline(time.Time{})
}

// requestSent reports whether the whole request had been written when the response ended.
func (a *Answer) requestSent() bool {
	select {
	case err := <-a.sent:
		return err == nil
	default:
		return false
	}
}

// Discard closes the connection, which makes the instance stop its work.
func (a *Answer) Discard() {
	a.stop()
	_ = a.Connection.Close()
}

// keepAliveTimeout returns how long the connection may stay idle according to the instance's
// Keep-Alive header.
func keepAliveTimeout(header http.Header) time.Duration {
	for field := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(value); name == "timeout" && err == nil {
			return max(0, time.Duration(seconds)*time.Second-idleMargin)
		}
	}
	return idleDefault
}
