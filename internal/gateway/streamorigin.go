package gateway

import (
	"cmp"
	"context"
	"slices"
	"time"

	"swiftbank.dev/swiftbank/internal/backend"
	"swiftbank.dev/swiftbank/internal/ledger"
	"swiftbank.dev/swiftbank/internal/route"
	"swiftbank.dev/swiftbank/internal/verdict"
)

// A stream may be continued only by instances that run the software version that began it: by this
// gateway after an instance broke off, or for another attempt of the caller at any gateway.
//
// The version is recorded with the turn's charge. It never changes once it is recorded, and while it may
// be, the turn is placed at that version only:
//   - If the service runs a single version, a turn with a token budget is reserved with it.
//   - Otherwise the version is recorded once an instance has accepted the turn.
//
// A stream without a record is not continued by another attempt. The first event therefore waits for the
// record for a bounded time only: a stream that begins without one is correct, but cannot be resumed.

// originTimeout is how long the first event waits until the origin is durable.
const originTimeout = 250 * time.Millisecond

// Sources of a stream's software version, as logged.
const (
	versionOfPlacement = "placement"
	versionFromRecord  = "record"
	versionFromRegions = "other_regions"
	versionOfProgram   = "program"
	versionUnknown     = "unknown"
)

// streamOrigin is what the gateway knows of the software that began a turn's stream.
type streamOrigin struct {
	// resumed is set if the caller requests the rest of a stream; attempt is its attempt that returned
	// the first event, or "" if it did not name one.
	resumed bool
	attempt string
	// record is the origin as recorded, or as about to be recorded; nil if there is no record, for
	// instance because the stream cannot be resumed.
	record *ledger.StreamOrigin
	// version is the software version of the instance that accepted the turn last, or that began the
	// resumed stream. source is where the gateway learned it.
	version string
	source  string
	// durable is closed once the record is durable; nil if it is part of the turn's reservation.
	durable <-chan struct{}
}

// streamProgram returns the name under which the origin of a stream without a token budget is recorded.
// No caller can send it as the name of a program: a header cannot contain a zero byte.
func streamProgram(attempt string) string { return "\x00stream " + attempt }

// setProgram determines the program that the turn is charged to. A turn without a token budget has none,
// unless it resumes a stream: it then reads the record of the stream's origin.
func (s *Server) setProgram(t *turn) {
	t.origin.resumed = t.lastEvent != ""
	if t.header.Get(s.dialect.TokenBudget) != "" {
		t.program = t.header.Get(s.dialect.Program)
	}
	t.budgeted = t.program != ""
	if !t.origin.resumed {
		return
	}
	t.origin.attempt = t.header.Get(s.dialect.Resumes)
	if !t.budgeted {
		t.program = streamProgram(t.origin.attempt)
	}
}

// cellKey returns the name that determines the cell of the turn's records.
func (s *Server) cellKey(t *turn) string {
	return cmp.Or(t.program, t.header.Get(s.dialect.Program))
}

// chooseOrigin sets the record that the turn is reserved with, if its stream may be resumed.
func (s *Server) chooseOrigin(t *turn) {
	if t.origin.resumed {
		t.origin.record = &ledger.StreamOrigin{Resumed: true}
		return
	}
	if !t.route.Resumable {
		return
	}
	t.origin.record = &ledger.StreamOrigin{Service: t.service.Name, Version: s.directory.SingleVersion(time.Now(), t.service.Name)}
}

// requiredVersion returns the software version at which the turn must be placed; "" allows any.
func (t *turn) requiredVersion() string {
	switch {
	case t.origin.record != nil && t.origin.record.Version != "":
		return t.origin.record.Version
	case t.events > 0:
		return t.origin.version
	default:
		return ""
	}
}

// allowRetryAtOtherVersion makes the refusal of a new stream ask for a retry if the version that it was
// reserved with is no longer served: another attempt may begin at another version.
func (t *turn) allowRetryAtOtherVersion(failure *backend.Failure) *backend.Failure {
	if failure.Restriction == backend.RestrictedByVersion && !t.origin.resumed && t.events == 0 {
		failure.Restriction, failure.RetryAfter = backend.NotRestricted, otherGatewayRetry
	}
	return failure
}

// recordVersion records the software version of the instance that accepted a turn, if there is no record
// yet.
func (s *Server) recordVersion(t *turn, instance backend.Instance) {
	if t.origin.resumed {
		return
	}
	t.origin.version, t.origin.source = instance.SoftwareVersion(), versionOfPlacement
	if !t.route.Resumable || t.origin.record != nil && t.origin.record.Version != "" {
		return
	}
	t.origin.record = &ledger.StreamOrigin{Service: t.service.Name, Version: t.origin.version}
	program := cmp.Or(t.program, streamProgram(t.id))
	cell := t.cell
	if cell == nil {
		cell = s.replicas.ForProgram(program, t.homes())
	}
	if cell == nil {
		return // no replicas are known
	}
	t.origin.durable = cell.RecordOrigin(program, ledger.Charge{Turn: t.id, Tokens: t.maxTokens, Origin: t.origin.record}, t.route.Retention)
}

// awaitOrigin delays the first event until the origin of the stream is durable.
func (s *Server) awaitOrigin(ctx context.Context, t *turn) {
	if t.origin.durable == nil {
		return
	}
	timeout := time.NewTimer(originTimeout)
	defer timeout.Stop()
	select {
	case <-t.origin.durable:
	case <-timeout.C:
		s.log.Warn().Str("event", "stream_unrecorded").Str("id", t.id).Str("stream_version", t.origin.version).Msg("")
	case <-ctx.Done():
	}
	t.origin.durable = nil
}

// findOrigin determines the software that began the stream that the turn resumes, and directs the turn
// to its service. It refuses a turn that no instance can continue.
func (s *Server) findOrigin(ctx context.Context, t *turn, reserveRequest ledger.Reserve) *refusal {
	if !t.origin.resumed {
		return nil
	}
	record, source, err := s.lookUpOrigin(ctx, t, reserveRequest)
	t.origin.source = source
	failure := s.refuseContinuation(t, record)
	if err != nil {
		failure = refuseFor(verdict.CodeUnavailable, replicaRetry, "too few replicas of other regions answered on the software version of the stream")
	}
	if record != nil {
		t.origin.record, t.origin.version = record, record.Version
	}
	s.logContinuation(t, failure)
	if failure != nil {
		return failure
	}
	t.service = t.table.Services[record.Service]
	t.service.Name = record.Service
	return nil
}

// lookUpOrigin returns the record of the stream's origin and its source. The record is nil if there is
// none. An error means that replicas that did not answer may have one.
func (s *Server) lookUpOrigin(ctx context.Context, t *turn, reserveRequest ledger.Reserve) (*ledger.StreamOrigin, string, error) {
	if t.origin.attempt == "" && !t.budgeted {
		return nil, versionUnknown, nil
	}
	named := t.reservation.OtherCharges()[t.origin.attempt]
	if named.Origin != nil && named.Origin.Version != "" {
		return named.Origin, versionFromRecord, nil
	}
	source := versionFromRecord
	if len(s.replicas.ForProgramInAllRegions(t.program)) > 1 {
		t.reservedElsewhere, source = true, versionFromRegions
		if err := s.replicas.ReserveInOtherRegions(ctx, t.reservation, reserveRequest); err != nil {
			return nil, versionUnknown, err
		}
	}
	charges := t.reservation.OtherCharges()
	if t.origin.attempt == "" {
		return s.commonOrigin(charges), versionOfProgram, nil
	}
	if record := s.originOf(charges[t.origin.attempt]); record != nil {
		return record, source, nil
	}
	return nil, versionUnknown, nil
}

// originOf returns the origin of a turn's stream, or nil if it is unknown.
func (s *Server) originOf(charge ledger.Charge) *ledger.StreamOrigin {
	if charge.Origin != nil && charge.Origin.Version != "" {
		return charge.Origin
	}
	// Earlier versions of this program record only the instance that has the turn's prompt cached.
	service, version, listed := s.directory.VersionOf(charge.Cached.Instance, charge.Cached.Born)
	if !listed {
		return nil
	}
	return &ledger.StreamOrigin{Service: service, Version: version}
}

// commonOrigin returns the origin of the streams of a program whose caller does not say which of them it
// resumes: the one that all its turns share, or nil.
func (s *Server) commonOrigin(charges map[string]ledger.Charge) *ledger.StreamOrigin {
	var common *ledger.StreamOrigin
	for _, charge := range charges {
		if !hasBegunStream(charge) {
			continue
		}
		origin := s.originOf(charge)
		if origin == nil || common != nil && *origin != *common {
			return nil
		}
		common = origin
	}
	return common
}

// hasBegunStream reports whether a turn may have returned the first event of a stream.
func hasBegunStream(charge ledger.Charge) bool {
	resumed := charge.Origin != nil && charge.Origin.Resumed
	return !resumed && (!charge.Final || charge.Tokens > 0)
}

// refuseContinuation returns the refusal of a turn that resumes a stream that no instance can continue,
// or nil. The refusals ask for no retry: a later attempt would fail as well.
func (s *Server) refuseContinuation(t *turn, record *ledger.StreamOrigin) *refusal {
	switch {
	case !t.route.Resumable || t.route.Retained:
		// A retained turn is stored with its whole output, of which this attempt lacks the beginning.
		return refuseFor(verdict.CodeNotResumable, 0, "streams of this route cannot be resumed by another attempt")
	case record == nil:
		return refuseFor(verdict.CodeOriginUnknown, 0, "the software version that began the stream is unknown")
	case !leadsTo(t.route, record.Service):
		return refuseFor(verdict.CodeVersionGone, 0, "the route does not lead to the service that began the stream")
	case !s.directory.Serves(time.Now(), record.Service, record.Version):
		return refuseFor(verdict.CodeVersionGone, 0, backend.RestrictedByVersion.String())
	default:
		return nil
	}
}

// leadsTo reports whether the route sends requests to the service.
func leadsTo(r *route.Route, service string) bool {
	return slices.ContainsFunc(r.Targets, func(target route.Target) bool { return target.Service == service })
}

// logContinuation logs the decision on a turn that resumes a stream.
func (s *Server) logContinuation(t *turn, failure *refusal) {
	result, service := "continued", t.service.Name
	if failure != nil {
		result = string(failure.code)
	}
	if t.origin.version != "" {
		service = t.origin.record.Service
	}
	s.log.Info().Str("event", "stream_continuation").Str("id", t.id).Str("resumes", t.origin.attempt).Str("last_event", t.lastEvent).
		Str("service", service).Str("stream_version", t.origin.version).Str("version_source", t.origin.source).Str("result", result).
		Int64("list_age_ms", s.instanceListAge().Milliseconds()).Dur("age", s.stateAge()).Msg("")
}
