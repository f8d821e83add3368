package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"swiftbank.dev/swiftbank/internal/backend"
)

const (
	// leastSilence is the shortest silence of an instance after which a stream asks
	// whether the instance's machine is there; silenceShare is the part of the route's
	// objectives that may pass before, so that the stream can still go on in time.
	leastSilence = 100 * time.Millisecond
	silenceShare = 2
)

// silenceWatch ends a send whose instance says nothing because its machine is gone. An
// instance that is there may be silent for as long as it likes.
type silenceWatch struct {
	pool     *backend.Pool
	instance backend.Instance
	silence  time.Duration
	timer    *time.Timer
	// end ends the send.
	end  context.CancelFunc
	gone atomic.Bool
}

// watchSilence watches a stream's send until stop.
func (s *Server) watchSilence(ctx context.Context, r *request, instance backend.Instance, end context.CancelFunc) *silenceWatch {
	watch := &silenceWatch{pool: s.pool, instance: instance, end: end, silence: max(leastSilence, r.route.Objective/silenceShare)}
	if r.route.GapObjective > 0 {
		watch.silence = max(leastSilence, min(r.route.Objective, r.route.GapObjective)/silenceShare)
	}
	watch.timer = time.AfterFunc(time.Hour, func() { watch.silent(ctx) })
	watch.timer.Reset(watch.silence) // the timer is known to its function before it fires
	return watch
}

// silent asks whether the instance is gone.
func (w *silenceWatch) silent(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	if !w.pool.Gone(ctx, w.instance, w.silence) {
		if ctx.Err() == nil {
			w.timer.Reset(w.silence)
		}
		return
	}
	w.gone.Store(true)
	w.end()
}

// heard begins the silence anew.
func (w *silenceWatch) heard(now time.Time) {
	w.pool.Heard(now, w.instance.ID)
	w.timer.Reset(w.silence)
}

func (w *silenceWatch) stop() { w.timer.Stop() }

// explain gives the failure of a send that the watch ended its true reason.
func (w *silenceWatch) explain(failure *backend.Failure) {
	if w != nil && failure != nil && w.gone.Load() {
		failure.Reason = "the instance's machine does not answer"
	}
}
