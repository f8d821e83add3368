package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"swiftbank.dev/swiftbank/internal/backend"
)

const (
	// idleTimeoutLeast and idleTimeoutMost bound how long a stream waits for its
	// instance's next bytes before it probes the instance's machine: idleTimeoutFactor
	// times what streams of the service usually wait for their first event. A probe takes
	// a connection, and engines under load send nothing for longer.
	idleTimeoutLeast  = 150 * time.Millisecond
	idleTimeoutMost   = time.Second
	idleTimeoutFactor = 4
	// streamIdleLeast and streamIdleFactor, times what streams of the service usually wait for
	// their first event, give the idle timeout after which a resumable stream goes on over a new
	// connection: one may fall silent for good though the machine accepts others. Callers give a
	// stream up after such a gap.
	streamIdleLeast  = 2 * time.Second
	streamIdleFactor = 8
)

// livenessWatch ends a send whose instance sends nothing because its machine is gone. An
// instance that is there may send nothing for as long as it likes.
type livenessWatch struct {
	pool        *backend.Pool
	instance    backend.Instance
	idleTimeout time.Duration
	timer       *time.Timer
	// renewAfter is the idle timeout of the connection; 0 where the stream cannot be resumed.
	renewAfter time.Duration
	// heardAt is when the instance last sent something, in nanoseconds since began.
	heardAt atomic.Int64
	began   time.Time
	// end ends the send.
	end          context.CancelFunc
	gone, silent atomic.Bool
}

// watchLiveness watches a stream's send until stop.
func (s *Server) watchLiveness(ctx context.Context, r *request, instance backend.Instance, end context.CancelFunc) *livenessWatch {
	usual := s.directory.MeanTimeToFirstEvent(instance.Service)
	watch := &livenessWatch{
		pool: s.pool, instance: instance, end: end, began: time.Now(),
		idleTimeout: min(idleTimeoutMost, max(idleTimeoutLeast, idleTimeoutFactor*usual)),
	}
	if r.route.Resumable {
		watch.renewAfter = max(streamIdleLeast, streamIdleFactor*usual)
	}
	watch.timer = time.AfterFunc(time.Hour, func() { watch.probe(ctx) })
	watch.timer.Reset(watch.idleTimeout) // the timer is known to its function before it fires
	return watch
}

// probe finds out whether the instance's machine is gone.
func (w *livenessWatch) probe(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	switch {
	case w.pool.IsDown(ctx, w.instance, w.idleTimeout):
		w.gone.Store(true)
		w.end()
	case ctx.Err() != nil:
	case w.renewAfter > 0 && time.Since(w.began)-time.Duration(w.heardAt.Load()) >= w.renewAfter:
		w.silent.Store(true)
		w.end()
	default:
		w.timer.Reset(w.idleTimeout)
	}
}

// heard notes that the instance sent something.
func (w *livenessWatch) heard(now time.Time) {
	w.pool.RecordActivity(now, w.instance.ID)
	w.heardAt.Store(int64(now.Sub(w.began)))
	w.timer.Reset(w.idleTimeout)
}

func (w *livenessWatch) stop() { w.timer.Stop() }

// explain gives the failure of a send that the watch ended its true reason.
func (w *livenessWatch) explain(failure *backend.Failure) {
	switch {
	case w == nil || failure == nil:
	case w.gone.Load():
		failure.Reason = "the instance's machine does not answer"
		failure.InstanceDown = true
	case w.silent.Load():
		failure.Reason = "the connection to the instance fell silent"
	}
}

// isGone reports whether an instance that did not take a request is known to be gone: its
// address refuses connections or is another instance's, or its machine does not answer. One
// lost opening packet does not say so.
func (s *Server) isGone(ctx context.Context, instance backend.Instance, failure *backend.Failure) bool {
	return failure.InstanceDown || failure.Unreachable && s.pool.IsDown(ctx, instance, 0)
}
