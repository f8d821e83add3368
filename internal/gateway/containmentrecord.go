package gateway

import (
	"context"
	"time"
)

// recordLoss records a run whose instance ended, or whose machine fell silent, and tells all gateways. It
// waits until that is done, because the caller may come back at another gateway, and this one may be killed.
//
// r is nil once the request is over.
func (s *Server) recordLoss(ctx context.Context, r *request, lost *lostRun) {
	changed := s.containment.merge(time.Now(), lost.key, lost.run)
	if len(changed) == 0 {
		return
	}
	sent := s.shareRecord(lost.key)
	if lost.recordWithProgram != nil {
		lost.recordWithProgram(lost.run)
	}
	s.metrics.lostRuns.WithLabelValues(lost.run.Outcome.String()).Inc()
	if r == nil {
		s.replicas.RecordRunInBackground(lost.key, lost.run)
		return
	}
	known, err := s.recordRun(ctx, r, lost.run)
	s.containment.merge(time.Now(), lost.key, known...)
	if err != nil {
		s.log.Warn().Str("event", "run_unrecorded").Str("id", r.id).Str("request_key", lost.key.String()).Err(err).Msg("")
	}
	select {
	case <-sent:
	case <-ctx.Done():
	}
}

// recordUnresolved records a lost run whose outcome is not known, and tells all gateways unless it is local. It waits
// until a quorum knows the run and the gateways were sent it, because the caller may come back at another gateway.
func (s *Server) recordUnresolved(ctx context.Context, lost *lostRun) {
	if len(s.containment.merge(time.Now(), lost.key, lost.run)) == 0 {
		return
	}
	s.metrics.lostRuns.WithLabelValues(lost.run.State()).Inc()
	if lost.isLocal {
		return
	}
	sent := s.shareRecord(lost.key)
	if lost.recordWithProgram != nil {
		lost.recordWithProgram(lost.run)
	}
	s.shareRun(ctx, lost)
	select {
	case <-sent:
	case <-ctx.Done():
	}
}

// shareRun waits until a quorum knows the run, because messages to the other gateways may be lost. The request of a run that
// is only watched is over, so nobody waits for it.
func (s *Server) shareRun(ctx context.Context, lost *lostRun) {
	if lost.isWatched {
		s.replicas.RecordRunInBackground(lost.key, lost.run)
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordRunTimeout)
	defer cancel()
	if err := s.replicas.ShareRun(ctx, lost.key, lost.run); err != nil {
		s.log.Warn().Str("event", "run_unshared").Str("id", lost.requestID).Str("request_key", lost.key.String()).Err(err).Msg("")
	}
}
