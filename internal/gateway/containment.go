package gateway

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"swiftbank.dev/swiftbank/internal/backend"
	"swiftbank.dev/swiftbank/internal/ledger"
	"swiftbank.dev/swiftbank/internal/quarantine"
	"swiftbank.dev/swiftbank/internal/quorum"
	"swiftbank.dev/swiftbank/internal/route"
	"swiftbank.dev/swiftbank/internal/verdict"
	"swiftbank.dev/swiftbank/internal/wait"
)

// A request that ends the instances that run it is not sent again by any gateway once EndedInstances have
// ended under it:
//
//   - Each run that ended its instance, or may have, is recorded on a quorum of the region's quarantine cell
//     and sent to all gateways before the caller is answered or the request is sent again.
//   - So is a run whose instance got into trouble and may yet end. It counts as an end until its outcome is known,
//     and a request waits for that rather than be sent once more than may end.
//   - A request with such runs behind it is a suspect. Its next run is recorded before it is sent, and the
//     quorum's answer tells the runs of all gateways. So two gateways cannot both send it for the last time,
//     and a gateway that is killed leaves a record.
//   - The runs of a turn are also recorded under its program. The reservation of the next attempt returns
//     them, if the message from the other gateway was lost. It also tells attempts that have not ended: one of a
//     gateway that was killed amid the run counts as another possible end.
//   - The voters that store the records tell all gateways of them (containmentnews.go), and several gateways watch the
//     instance of each lost run (adoptedrun.go), so that neither a lost message nor a killed gateway hides an end.
//   - A gateway that neither the voters nor other gateways tell of ends knows its own only. It serves on, but stops a
//     request after the first end.
//
// All other requests pass with a few atomic loads. Only at a gateway that starts, or was suspended, do they wait
// until it has read the records.

const (
	// recordRunTimeout is how long the record of a run is awaited. Without a record, what is known here
	// decides.
	recordRunTimeout = 250 * time.Millisecond
	// withheldPollInterval is how often a withheld request checks whether the outcomes that it waits for are known.
	withheldPollInterval = 20 * time.Millisecond
	// minWithheldRetry is the shortest Retry-After of a request that is withheld.
	minWithheldRetry = 200 * time.Millisecond
)

// containment holds what a gateway knows of requests that end instances. It is safe for concurrent use.
type containment struct {
	// limit is the number of instances that may end under one request.
	limit int
	// records is the number of requests in the table.
	records atomic.Int64
	// restored is set once the records of the time before this gateway started were read, or given up.
	restored atomic.Bool
	// checkedAt is when it was last checked whether messages of the other gateways were missed, as a duration
	// since the gateway started; 0 before the first check.
	checkedAt atomic.Int64
	// suspendedUntil is when this process last continued after it was suspended, as a duration since the gateway
	// started; 0 if it was not.
	suspendedUntil atomic.Int64

	// follower tells of the records of other gateways; nil before RunContainment.
	follower atomic.Pointer[quorum.QuarantineFollower]
	// uninformed is set while nobody tells this gateway of the ends at other gateways; outdated is set while the voters
	// do not.
	uninformed, outdated atomic.Bool

	mu    sync.Mutex
	table *quarantine.Table
	// handled holds when the runs were first seen that this gateway watches, or leaves to others to watch, by their ids.
	handled map[string]time.Time
	// unresolved are the lost runs whose outcome is not known yet; unresolvedBudget bounds those that are recorded.
	unresolved       []*lostRun
	unresolvedBudget *recordBudget
	// refusedBudget bounds the refusals that other gateways are told of.
	refusedBudget *recordBudget
	// exposures are the lives that may still end of lost runs of this gateway, the oldest first.
	exposures []exposure
	// unsent are the keys of the records that the next message to the other gateways contains.
	unsent map[quarantine.Key]bool
	// unsentDone is closed once that message was sent.
	unsentDone chan struct{}
}

// newContainment returns the containment of requests under which limit instances may end, nil if limit is 0.
func newContainment(limit int) *containment {
	if limit == 0 {
		return nil
	}
	return &containment{
		limit: limit, table: quarantine.NewTable(), unsent: map[quarantine.Key]bool{}, handled: map[string]time.Time{},
		unresolvedBudget: &recordBudget{rate: unresolvedRate, burst: unresolvedBurst},
		refusedBudget:    &recordBudget{rate: refusedRate, burst: refusedBurst},
	}
}

// merge adds runs of a request to the table and returns those that changed it.
func (c *containment) merge(now time.Time, key quarantine.Key, runs ...quarantine.Run) []quarantine.Run {
	c.mu.Lock()
	defer c.mu.Unlock()
	changed := c.table.Merge(now, key, runs...)
	c.records.Store(int64(c.table.Size()))
	return changed
}

// standing returns what counts against a request besides the run with the given id, while the given attempts of
// its program have not ended.
func (c *containment) standing(key quarantine.Key, without string, unsettled []string) quarantine.Standing {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.StandingWithUnsettled(time.Now(), key, without, unsettled)
}

// exposed returns the instances that may still end of runs of a request that they outlived, without the run with the given
// id.
func (c *containment) exposed(key quarantine.Key, without string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Exposed(time.Now(), key, without)
}

// list returns the requests that something counts against.
func (c *containment) list(now time.Time) []quarantine.Suspicion {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.List(now)
}

// verdictOn returns the decision on sending the request, and what counts against it besides the run with the
// given id.
func (s *Server) verdictOn(r *request, without string) (quarantine.Verdict, quarantine.Standing) {
	c := s.containment
	if c == nil || c.records.Load() == 0 {
		return quarantine.Clear, quarantine.Standing{}
	}
	c.observeLostGateways()
	standing := c.standing(s.keyOf(r), without, nil)
	if standing.Ended+standing.Possible > 0 && r.unsettledTurns != nil {
		standing = c.standing(s.keyOf(r), without, r.unsettledTurns())
	}
	if !r.hasReservation(s.dialect) {
		standing.Possible += standing.Missed
	}
	return standing.Verdict(c.currentLimit()), standing
}

// hasReservation reports whether the request's program tells of runs that were not recorded: those of its attempts that
// have not ended.
func (r *request) hasReservation(dialect Dialect) bool {
	return r.route != nil && r.route.Kind == route.Streaming && r.header.Get(dialect.Program) != ""
}

// refuseContained returns the refusal of a request that must not be sent, or nil.
func (s *Server) refuseContained(ctx context.Context, r *request) *refusal {
	if failure := s.awaitContainment(ctx, r); failure != nil {
		return containmentRefusal(failure)
	}
	return nil
}

// containmentRefusal returns the refusal for a failure of containmentFailure.
func containmentRefusal(failure *backend.Failure) *refusal {
	return refuseFor(verdict.CodeQuarantined, failure.RetryAfter, failure.Reason)
}

// refuseContainedTurn returns the refusal of a turn that must not be sent according to its program's charges, or
// nil.
func (s *Server) refuseContainedTurn(ctx context.Context, t *turn) *refusal {
	if s.containment == nil || t.program == "" {
		return nil
	}
	t.recordWithProgram = func(run quarantine.Run) {
		t.cell.Settle(t.program, ledger.ProgramRunCharge(s.keyOf(t.request), run), t.route.Retention)
	}
	t.unsettledTurns = func() []string {
		return slices.DeleteFunc(t.reservation.UnsettledTurns(), func(turn string) bool { return turn == t.id })
	}
	t.programRuns = t.reservation.RunsOf(func() quarantine.Key { return s.keyOf(t.request) })
	return s.refuseContained(ctx, t.request)
}

// awaitContainment returns the failure of a request that must not be sent, or nil. A withheld request waits if it
// will be known in time whether instances have ended under it, and looks for ends after its own refusals meanwhile.
func (s *Server) awaitContainment(ctx context.Context, r *request) *backend.Failure {
	for waited := false; ; waited = true {
		decision, standing := s.verdictOn(r, "")
		if decision != quarantine.Withheld || !r.hasTimeToSend(time.Now().Add(standing.OpenFor)) {
			return s.containmentFailure(r, "")
		}
		if !waited {
			s.log.Info().Str("event", "request_withheld").Str("id", r.id).Str("request_key", r.key.String()).
				Int("ended", standing.Ended).Int("possible", standing.Possible).Dur("open_for", standing.OpenFor).Msg("")
		}
		if !wait.For(ctx, withheldPollInterval) {
			return s.containmentFailure(r, "")
		}
		s.examineRefusals(ctx, r)
	}
}

// containmentFailure returns the failure of a request that must not be sent, or nil. A withheld request may
// come back once it is known whether the last instances ended; a quarantined one must not.
func (s *Server) containmentFailure(r *request, without string) *backend.Failure {
	decision, standing := s.verdictOn(r, without)
	r.outcome.endsBehind = standing.Ended + standing.Possible
	if !decision.Stops() {
		return nil
	}
	failure := &backend.Failure{Verdict: verdict.NotRun, Contained: decision, Reason: "instances ended while they ran this request"}
	if decision == quarantine.Withheld {
		failure.Reason = "instances ended, or may have ended, while they ran this request"
		failure.RetryAfter = max(minWithheldRetry, standing.OpenFor)
	}
	s.logContained(r, decision, standing, failure.RetryAfter)
	return failure
}

// beginRun records the next run of a suspect before it is sent. It returns the failure of a request that must
// not be sent, or nil.
//
// A connection besides the one that carries the run shows afterwards whether the life ended that ran it.
func (s *Server) beginRun(ctx context.Context, r *request, choice backend.Choice, life *backend.Life) *backend.Failure {
	r.life = life
	s.awaitRecords(ctx)
	if s.isConfinedFrom(r, choice.Instance, life, "") {
		return confinedFailure()
	}
	decision, standing := s.verdictOn(r, "")
	if len(r.programRuns) == 0 && (decision == quarantine.Clear || standing.IsOnlyRefused()) {
		return nil
	}
	if !s.pool.Witness(ctx, choice.Instance, life) {
		return &backend.Failure{Verdict: verdict.NotRun, NotSent: true, Reason: "the instance ended before a suspect was sent"}
	}
	run := r.currentRun(choice.Instance)
	run.Outcome = quarantine.Running
	known, err := s.recordRun(ctx, r, run)
	if err != nil && len(known) == 0 {
		known = r.programRuns
	}
	s.containment.merge(time.Now(), s.keyOf(r), append(known, run)...)
	r.recordedRun = &run
	failure := s.containmentFailure(r, run.ID)
	if failure == nil && s.isConfinedFrom(r, choice.Instance, life, run.ID) {
		failure = confinedFailure() // other gateways know of more instances
	}
	if failure == nil && err != nil && standing.Ended+standing.Possible >= s.containment.limit-1 {
		// Another gateway may be sending it for the last time.
		failure = &backend.Failure{
			Verdict: verdict.NotRun, Contained: quarantine.Withheld, RetryAfter: minWithheldRetry, Reason: "the last run of this request cannot be recorded: " + err.Error(),
		}
		s.logContained(r, quarantine.Withheld, standing, failure.RetryAfter)
	}
	if failure != nil {
		s.endRecordedRun(r)
		return failure
	}
	s.log.Info().Str("event", "suspect_sent").Str("id", r.id).Str("request_key", r.key.String()).Str("instance", choice.Instance.ID).
		Int("ended", standing.Ended).Int("possible", standing.Possible).Bool("recorded", err == nil).Int("load", choice.Load).Msg("")
	return nil
}

// confinedFailure returns the failure of a request that is not sent to an instance because as many as may end of it already
// are to end under it.
func confinedFailure() *backend.Failure {
	return &backend.Failure{Verdict: verdict.NotRun, NotSent: true, Reason: "as many other instances as may end under the request may yet end"}
}

// recordRun records a run durably and returns the runs of the request that the quorum knows.
func (s *Server) recordRun(ctx context.Context, r *request, run quarantine.Run) ([]quarantine.Run, error) {
	ctx, cancel := context.WithTimeout(ctx, recordRunTimeout)
	defer cancel()
	return s.replicas.RecordRun(ctx, s.keyOf(r), run, s.options.Copies)
}

// endRecordedRun records that an instance outlived the request's recorded run, or never got it.
func (s *Server) endRecordedRun(r *request) {
	if r.recordedRun == nil {
		return
	}
	run := *r.recordedRun
	run.Outcome = quarantine.Survived
	r.recordedRun = nil
	s.containment.merge(time.Now(), s.keyOf(r), run)
	s.replicas.RecordRunInBackground(s.keyOf(r), run)
}

// recordAnswer records that an instance has answered the request completely. An error of the instance's own and a
// success without its signature are signs of trouble. An answer that ends with its connection is complete, but does
// not show that the instance lives.
func (s *Server) recordAnswer(ctx context.Context, r *request, sent *attempt) {
	response := sent.answer.Response
	isError := response.StatusCode >= http.StatusInternalServerError
	isUnsigned := response.StatusCode/100 == 2 && response.Header.Get(s.dialect.Signature) == ""
	switch {
	case isError || isUnsigned:
		s.examineLostRun(ctx, r, sent.choice, answerInvalid)
	case sent.answer.Framed():
		s.recordAnswered(r)
	case r.recordedRun != nil:
		s.examineLostRun(ctx, r, sent.choice, answerInvalid)
	}
}

// recordAnswered records that an instance has answered the request. A suspect is released: it does not end instances.
func (s *Server) recordAnswered(r *request) {
	decision, _ := s.verdictOn(r, runIDOf(r.recordedRun))
	s.endRecordedRun(r)
	if decision == quarantine.Suspect {
		s.release(s.keyOf(r), "completed", r.id)
	}
}

func runIDOf(run *quarantine.Run) string {
	if run == nil {
		return ""
	}
	return run.ID
}

// release removes what counts against a request, at all gateways. It returns the number of runs.
func (s *Server) release(key quarantine.Key, reason, id string) int {
	s.containment.mu.Lock()
	known, runs := s.containment.table.Runs(key), s.containment.table.ReleasedRuns(key)
	s.containment.mu.Unlock()
	if len(runs) == 0 {
		return 0
	}
	s.containment.merge(time.Now(), key, runs...)
	for index, run := range runs {
		if !known[index].IsRefusal() {
			s.replicas.RecordRunInBackground(key, run)
		}
	}
	s.shareRecord(key)
	s.metrics.released.WithLabelValues(reason).Inc()
	s.log.Info().Str("event", "request_released").Str("id", id).Str("request_key", key.String()).Str("reason", reason).Int("runs", len(runs)).Msg("")
	return len(runs)
}

// logContained logs the decision not to send a request.
func (s *Server) logContained(r *request, decision quarantine.Verdict, standing quarantine.Standing, retryAfter time.Duration) {
	s.metrics.contained.WithLabelValues(decision.String()).Inc()
	s.log.Warn().Str("event", "request_contained").Str("id", r.id).Str("request_key", r.key.String()).Str("verdict", decision.String()).
		Int("ended", standing.Ended).Int("possible", standing.Possible).Dur("open_for", standing.OpenFor).Dur("retry_after", retryAfter).Msg("")
}
