package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"swiftbank.dev/swiftbank/internal/ledger"
	"swiftbank.dev/swiftbank/internal/quorum"
	"swiftbank.dev/swiftbank/internal/verdict"
)

// reserveTimeout is how long a turn waits for the replicas before it is refused. It allows for
// two round trips between distant regions (60 ms each), with a connection opened for them,
// and a try by another gateway.
const reserveTimeout = 900 * time.Millisecond

// localReserveTimeout is how long the own region's replicas may take where those of another region
// could store the turn: a replica is known to be silent after 500 ms, and the rest of
// reserveTimeout covers the other region's round trips.
const localReserveTimeout = 600 * time.Millisecond

// maxLostCellRetry bounds the pause that callers of a cell without a quorum are told.
const maxLostCellRetry = 2 * time.Second

// lostCellRetry returns when a caller should come back to a cell that has been without a quorum for the given time. The
// longer that is, the longer it is expected to last: a restart of replicas takes a second, a change of their set
// several. Callers are spread over twice that time, so that they do not return at once.
func lostCellRetry(lostFor time.Duration, id string) time.Duration {
	const spreadSteps = 1000
	pause := min(maxLostCellRetry, max(replicaRetry, lostFor/2))
	spread := time.Duration(xxhash.Sum64String(id)%spreadSteps) * pause / spreadSteps
	return (pause + spread).Round(time.Millisecond)
}

// reserve reserves the turn's tokens in its program's budget and reads its history.
func (s *Server) reserve(ctx context.Context, t *turn) *refusal {
	if t.program == "" && t.previous == "" {
		return nil
	}
	t.cell = s.replicas.ForProgram(s.cellKey(t), t.homes())
	if t.cell == nil {
		return refuseFor(verdict.CodeUnavailable, replicaRetry, "no replicas are known that may store the turn")
	}
	if s.isolated() {
		return refuseFor(verdict.CodeUnavailable, otherGatewayRetry, "this gateway reaches neither replicas nor other gateways")
	}
	if lostFor := t.cell.LostFor(time.Now()); lostFor > 0 {
		return refuseFor(verdict.CodeUnavailable, lostCellRetry(lostFor, t.id), "the program's replicas have had no quorum for "+lostFor.Round(time.Millisecond).String())
	}
	s.chooseOrigin(t)
	began := time.Now()
	failure := s.reserveAtCell(ctx, t)
	t.outcome.reserveMS = millisecondsSince(began)
	s.metrics.reserve.Observe(time.Since(began).Seconds())
	if failure != nil {
		s.settle(t)
		return failure
	}
	t.body = append(t.history(), t.input...)
	return nil
}

// reserveAtCell makes the turn's reservation at its cell and decides by the program's other charges.
func (s *Server) reserveAtCell(ctx context.Context, t *turn) *refusal {
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	reserveRequest := ledger.Reserve{
		Program: t.program, Charge: ledger.Charge{Turn: t.id, Tokens: t.maxTokens, Origin: t.origin.record},
		Retention: t.route.Retention, History: t.previous, Tenant: t.tenantName(),
	}
	if failure := s.reserveHistory(ctx, t, reserveRequest); failure != nil {
		return failure
	}
	if failure := s.findOrigin(ctx, t, reserveRequest); failure != nil {
		return failure
	}
	if !t.budgeted {
		return nil
	}
	return s.reserveBudget(ctx, t, reserveRequest)
}

// reserveHistory reserves the turn in its program's cell and reads its history from there or from
// another cell.
func (s *Server) reserveHistory(ctx context.Context, t *turn, reserveRequest ledger.Reserve) *refusal {
	reservation, err := s.reserveWithFailover(ctx, t, reserveRequest)
	if err != nil {
		return refuseFor(verdict.CodeUnavailable, replicaRetry, "too few replicas answered")
	}
	t.reservation = reservation
	t.outcome.otherCharges = reservation.OtherTurnTokens
	t.outcome.epoch = t.cell.Epoch()
	if t.previous != "" && !reservation.Found && !reservation.Foreign {
		t.ancestors = s.replicas.ChainFromOtherCells(ctx, s.cellKey(t), t.previous, t.homes())
	}
	if t.continuesOtherTenant() {
		return &refusal{status: http.StatusNotFound, code: verdict.CodeNotFound, reason: "the previous turn is another tenant's"}
	}
	if t.previous != "" && !reservation.Found && len(t.ancestors) == 0 {
		// An unreachable cell may have it, so the refusal must not state that it does not exist.
		return refuseFor(verdict.CodeUnavailable, replicaRetry, "the previous turn is not to be found now")
	}
	return nil
}

// reserveWithFailover reserves the turn in its program's cell, or in another region's cell if the
// first one has just lost its quorum.
func (s *Server) reserveWithFailover(ctx context.Context, t *turn, reserveRequest ledger.Reserve) (*quorum.Reservation, error) {
	program := s.cellKey(t)
	if len(s.replicas.ForProgramInAllRegions(program)) < 2 {
		return t.cell.Reserve(ctx, reserveRequest)
	}
	localCtx, cancel := context.WithTimeout(ctx, localReserveTimeout)
	defer cancel()
	reservation, err := t.cell.Reserve(localCtx, reserveRequest)
	if err == nil {
		return reservation, nil
	}
	other := s.replicas.Failover(t.cell, program, t.homes())
	if other == nil {
		return t.cell.Reserve(ctx, reserveRequest)
	}
	s.log.Info().Str("event", "turn_kept_elsewhere").Str("id", t.id).Str("program", program).AnErr("error", err).Msg("")
	t.cell, t.reservedElsewhere = other, true // the charge may be recorded in the first cell
	return t.cell.Reserve(ctx, reserveRequest)
}

// reserveBudget checks that the program's budget covers the turn: by the own region's share
// alone, or by the charges of all regions.
func (s *Server) reserveBudget(ctx context.Context, t *turn, reserveRequest ledger.Reserve) *refusal {
	budget, _ := strconv.ParseInt(t.header.Get(s.dialect.TokenBudget), 10, 64)
	escrow := quorum.Escrow{Budget: budget, MaxTurnTokens: t.maxTokens, Regions: len(s.replicas.ForProgramInAllRegions(t.program))}
	grant := escrow.DecideInOwnRegion(t.reservation.OtherTurnTokens)
	if grant == quorum.AskEveryRegion {
		t.reservedElsewhere, t.outcome.askedAllRegions = true, true
		if err := s.replicas.ReserveInOtherRegions(ctx, t.reservation, reserveRequest); err != nil {
			return refuseFor(verdict.CodeUnavailable, replicaRetry, "too few replicas of other regions answered on the program's budget")
		}
		t.outcome.otherCharges = t.reservation.OtherTurnTokens
		grant = escrow.DecideInAllRegions(t.reservation.OtherTurnTokens)
	}
	s.metrics.countBudgetDecision(grant, t.outcome.askedAllRegions)
	if grant == quorum.Exhausted {
		return &refusal{status: http.StatusPaymentRequired, code: verdict.CodeBudgetExhausted, reason: "the program's budget does not cover another turn"}
	}
	return nil
}

// settle replaces the reservation by the tokens that were sent to the caller.
func (s *Server) settle(t *turn) {
	if t.program == "" {
		return
	}
	t.cell.Settle(t.program, t.finalCharge(), t.route.Retention)
	s.settleElsewhere(t)
}

// settleElsewhere replaces the reservations in other regions, if there are any.
func (s *Server) settleElsewhere(t *turn) {
	if t.reservedElsewhere {
		s.replicas.SettleInOtherRegions(t.cell, ledger.Commit{Program: t.program, Charge: t.finalCharge(), Retention: t.route.Retention})
	}
}

// awaitReservation delays the first event until a quorum, in each region where the turn is
// reserved, has synced the reservation: tokens that reach a caller must be counted whatever
// fails afterwards.
func (s *Server) awaitReservation(ctx context.Context, t *turn) error {
	if t.durable || t.program == "" {
		return nil
	}
	if err := t.reservation.Durable(ctx, s.options.Copies); err != nil {
		return err
	}
	t.durable = true
	return nil
}
