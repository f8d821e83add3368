package backend

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"swiftbank.dev/swiftbank/internal/verdict"
)

const (
	// inlineBody is the largest body that is written before the answer is read. A
	// larger one is written beside the reading, for an instance may answer early.
	inlineBody = 2 << 10
	// surplusLimit is how many answers to earlier requests are passed over.
	surplusLimit = 3
)

// Call is one request to an instance.
type Call struct {
	Method string
	// Target is the request target as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// IDHeader names the header by which an answer is matched with its request.
	IDHeader string
	// MaySend is asked once a connection is there, just before the request is sent; the
	// request is given up if it says no. Nil says yes.
	MaySend func() bool
	// NewConnection asks for a new connection. A kept one may have fallen silent for good, which shows
	// only by the answer that does not come: a request that lost one answer so goes on by a
	// connection that was just made.
	NewConnection bool
}

// Failure is an exchange without a usable answer.
type Failure struct {
	// Verdict says whether the request may have run.
	Verdict verdict.Verdict
	// Unreachable is set when no connection came up, or another instance has the address;
	// Gone when the instance is known to have ended or to be cut off: connections are refused,
	// another instance has the address, or its machine was found not to answer.
	Unreachable  bool
	InstanceDown bool
	// NotSent is set when this gateway gave the send up itself.
	NotSent bool
	// Restriction is set when a rule about places leaves no instance for the request.
	Restriction Restriction
	Reason      string
	// RetryAfter is when an instance may take the request; zero if that is not known.
	RetryAfter time.Duration
}

// Error implements error.
func (f *Failure) Error() string { return f.Reason }

// Answer is the head of an instance's answer. Finish or Discard must be called.
type Answer struct {
	Response   *http.Response
	Connection *connection

	pool     *Pool
	instance Instance
	stop     func() bool
	written  chan error
	odd      bool
}

// Do sends the call and reads the answer's head. The context's end closes the
// connection, at which an instance stops its work.
func (p *Pool) Do(ctx context.Context, instance Instance, call Call) (*Answer, *Failure) {
	connection, err := p.take(ctx, instance, call.NewConnection)
	if err != nil {
		return nil, &Failure{Verdict: verdict.NotRun, Unreachable: ctx.Err() == nil, InstanceDown: errors.Is(err, syscall.ECONNREFUSED), Reason: "connect: " + err.Error()}
	}
	if call.MaySend != nil && !call.MaySend() {
		p.putBack(instance, connection)
		return nil, &Failure{Verdict: verdict.NotRun, NotSent: true, Reason: "the permit to send to the instance ended before the send"}
	}
	answer := &Answer{Connection: connection, pool: p, instance: instance, written: make(chan error, 1)}
	answer.stop = context.AfterFunc(ctx, func() { _ = connection.Close() })
	if err := answer.send(call); err != nil {
		answer.brokeOff(ctx)
		return nil, &Failure{Verdict: verdict.MayHaveRun, Reason: "send: " + err.Error()}
	}
	if err := answer.readHead(call); err != nil {
		answer.brokeOff(ctx)
		return nil, &Failure{Verdict: verdict.MayHaveRun, Reason: "read: " + err.Error()}
	}
	return answer, nil
}

// brokeOff ends an exchange that the instance, not the caller, broke off.
func (a *Answer) brokeOff(ctx context.Context) {
	a.Discard()
	if ctx.Err() == nil {
		a.pool.closeIdle(a.instance.ID)
	}
}

func (a *Answer) send(call Call) error {
	message := encode(call)
	if len(call.Body) <= inlineBody {
		_, err := a.Connection.Write(message)
		a.written <- nil
		return err
	}
	go func() {
		_, err := a.Connection.Write(message)
		a.written <- err
	}()
	return nil
}

// encode writes the request as it travels.
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

// errNoID says that an answer cannot be matched with the request.
var errNoID = errors.New("the answer does not name the request")

// readHead reads heads until one names this request. An answer to an earlier
// request may come first; it belongs to nobody.
func (a *Answer) readHead(call Call) error {
	asked := &http.Request{Method: call.Method}
	id := call.Header.Get(call.IDHeader)
	for range surplusLimit {
		response, err := http.ReadResponse(a.Connection.reader, asked)
		if err != nil {
			return err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if response.Header.Get(call.IDHeader) == id {
			a.Response = response
			return nil
		}
		a.odd = true
		if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
			return errNoID // it ends with the connection: nothing can follow
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return err
		}
	}
	return errNoID
}

// Body returns the reader behind the answer's head.
func (a *Answer) Body() io.Reader { return a.Response.Body }

// Buffered returns a reader of the body for lines.
func (a *Answer) Buffered() *bufio.Reader { return bufio.NewReaderSize(a.Response.Body, readBuffer) }

// Framed reports whether the answer says itself where it ends.
func (a *Answer) Framed() bool {
	return a.Response.ContentLength >= 0 || len(a.Response.TransferEncoding) > 0
}

// Finish ends an exchange whose body was read to its end, and keeps the connection
// if nothing odd was seen on it.
func (a *Answer) Finish() {
	if !a.stop() || a.odd || a.Response.Close || !a.Framed() || a.Connection.reader.Buffered() > 0 || !a.wholeRequestRead() {
		_ = a.Connection.Close()
		return
	}
	a.pool.put(a.instance, a.Connection, idleTime(a.Response.Header))
}

// wholeRequestRead reports whether the request was sent whole before the answer
// ended.
func (a *Answer) wholeRequestRead() bool {
	select {
	case err := <-a.written:
		return err == nil
	default:
		return false
	}
}

// Discard closes the connection, at which the instance stops its work.
func (a *Answer) Discard() {
	a.stop()
	_ = a.Connection.Close()
}

// idleTime returns how long the connection may rest by the instance's word.
func idleTime(header http.Header) time.Duration {
	for field := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(value); name == "timeout" && err == nil {
			return max(0, time.Duration(seconds)*time.Second-idleMargin)
		}
	}
	return idleDefault
}
