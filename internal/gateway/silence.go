package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"swiftbank.dev/swiftbank/internal/backend"
)

const (
	// leastSilence and mostSilence bound the silence of an instance after which a stream
	// asks whether the instance's machine is there: silenceFactor times what streams of
	// the service usually wait for their first event. Asking takes a connection, and
	// engines under load are silent for longer.
	leastSilence  = 150 * time.Millisecond
	mostSilence   = time.Second
	silenceFactor = 4
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
func (s *Server) watchSilence(ctx context.Context, instance backend.Instance, end context.CancelFunc) *silenceWatch {
	usual := s.directory.UsualFirst(instance.Service)
	watch := &silenceWatch{
		pool: s.pool, instance: instance, end: end, silence: min(mostSilence, max(leastSilence, silenceFactor*usual)),
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
