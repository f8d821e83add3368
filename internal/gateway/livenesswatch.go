package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"swiftbank.dev/swiftbank/internal/backend"
)

const (
	// minIdleTimeout and maxIdleTimeout bound how long a stream waits for its instance's next
	// bytes before it probes the instance's machine: idleTimeoutFactor times the typical time to
	// the first event of the service's streams. A probe takes a connection, and engines under
	// load may send nothing for longer.
	minIdleTimeout    = 150 * time.Millisecond
	maxIdleTimeout    = time.Second
	idleTimeoutFactor = 4
	// minResumeTimeout and resumeTimeoutFactor, times the typical time to the first event of the
	// service's streams, give the idle timeout after which a resumable stream continues over a new
	// connection: a connection may stall permanently though the machine accepts others. Callers
	// give up a stream after such a gap.
	minResumeTimeout    = 2 * time.Second
	resumeTimeoutFactor = 8
)

// livenessWatch cancels a send whose instance is silent because its machine is gone. A reachable
// instance may stay silent for any length of time, unless the stream can be resumed.
type livenessWatch struct {
	pool        *backend.Pool
	instance    backend.Instance
	idleTimeout time.Duration
	timer       *time.Timer
	// resumeAfter is the idle timeout of the connection; 0 where the stream cannot be resumed.
	resumeAfter time.Duration
	// receivedAt is when the instance last sent something, in nanoseconds since began.
	receivedAt atomic.Int64
	began      time.Time
	// cancel cancels the send.
	cancel       context.CancelFunc
	gone, silent atomic.Bool
}

// watchLiveness starts a watch of a stream's send. The caller must stop it.
func (s *Server) watchLiveness(ctx context.Context, r *request, instance backend.Instance, cancel context.CancelFunc) *livenessWatch {
	typicalFirst := s.directory.MeanTimeToFirstEvent(instance.Service)
	watch := &livenessWatch{
		pool: s.pool, instance: instance, cancel: cancel, began: time.Now(),
		idleTimeout: min(maxIdleTimeout, max(minIdleTimeout, idleTimeoutFactor*typicalFirst)),
	}
	if r.route.Resumable {
		watch.resumeAfter = max(minResumeTimeout, resumeTimeoutFactor*typicalFirst)
	}
	watch.timer = time.AfterFunc(time.Hour, func() { watch.probe(ctx) })
	watch.timer.Reset(watch.idleTimeout) // the timer is known to its function before it fires
	return watch
}

// probe checks whether the instance's machine is gone, and cancels the send or schedules the next
// probe.
func (w *livenessWatch) probe(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	switch {
	case w.pool.IsDown(ctx, w.instance, w.idleTimeout):
		w.gone.Store(true)
		w.cancel()
	case ctx.Err() != nil:
	case w.resumeAfter > 0 && time.Since(w.began)-time.Duration(w.receivedAt.Load()) >= w.resumeAfter:
		w.silent.Store(true)
		w.cancel()
	default:
		w.timer.Reset(w.idleTimeout)
	}
}

// recordActivity records that the instance sent something.
func (w *livenessWatch) recordActivity(now time.Time) {
	w.pool.RecordActivity(now, w.instance.ID)
	w.receivedAt.Store(int64(now.Sub(w.began)))
	w.timer.Reset(w.idleTimeout)
}

func (w *livenessWatch) stop() { w.timer.Stop() }

// explain sets the reason of a failure that the watch itself caused by cancelling the send.
func (w *livenessWatch) explain(failure *backend.Failure) {
	switch {
	case w == nil || failure == nil:
	case w.gone.Load():
		failure.Reason = "the instance's machine does not answer"
		failure.InstanceDown = true
	case w.silent.Load():
		failure.Reason = "the connection to the instance stalled"
	}
}

// isGone reports whether an instance that did not accept a request is known to be gone: its
// address refuses connections or belongs to another instance, or its machine does not answer.
// The loss of one connection attempt is not sufficient.
func (s *Server) isGone(ctx context.Context, instance backend.Instance, failure *backend.Failure) bool {
	return failure.InstanceDown || failure.Unreachable && s.pool.IsDown(ctx, instance, 0)
}
