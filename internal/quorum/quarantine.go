package quorum

import (
	"context"
	"time"

	"swiftbank.dev/swiftbank/internal/ledger"
	"swiftbank.dev/swiftbank/internal/place"
	"swiftbank.dev/swiftbank/internal/quarantine"
)

// The runs of requests are recorded in one cell of each region, so that a gateway that starts reads them all
// from there. They are few: a run is recorded only if its instance ended, or if earlier ones did.

// quarantineCell is the name that determines this cell.
const quarantineCell = "quarantine"

// maxQuarantineRuns bounds the runs that a starting gateway reads.
const maxQuarantineRuns = 16384

// quarantineRetention is how long replicas keep the runs of a request after the last change.
const quarantineRetention = quarantine.RecordTTL

// RecordRun records a run of a request in the own region and waits until it is durable on a quorum and on at
// least copies disks. It returns the runs of the request that the quorum knows. Other regions are told in
// the background. It returns ErrNoQuorum if the context ends first; the run may be recorded then.
func (c *Cells) RecordRun(ctx context.Context, key quarantine.Key, run quarantine.Run, copies int) ([]quarantine.Run, error) {
	cell := c.ForProgram(quarantineCell, place.Homes{})
	if cell == nil {
		return nil, ErrNoQuorum
	}
	for _, other := range c.otherRegions(quarantineCell, cell) {
		other.recordRunInBackground(key, run)
	}
	reservation, err := cell.Reserve(ctx, ledger.Reserve{
		Program: ledger.QuarantineProgram(key), Charge: ledger.RunCharge(run), Retention: quarantineRetention,
	})
	if err != nil {
		cell.recordRunInBackground(key, run)
		return nil, err
	}
	defer reservation.StopRetrying()
	runs := ledger.RecordedRuns(reservation.charges())
	if err := reservation.Durable(ctx, copies); err != nil {
		cell.recordRunInBackground(key, run)
		return runs, err
	}
	return runs, nil
}

// ShareRun records a run of a request and returns once a quorum of the own region knows it, so that the run is told to all
// gateways although this one may end. It is made durable in the background, in all regions. It returns ErrNoQuorum if the
// context ends first.
func (c *Cells) ShareRun(ctx context.Context, key quarantine.Key, run quarantine.Run) error {
	c.RecordRunInBackground(key, run)
	cell := c.ForProgram(quarantineCell, place.Homes{})
	if cell == nil || !cell.isAvailable(time.Now()) {
		return ErrNoQuorum
	}
	reservation, err := cell.Reserve(ctx, ledger.Reserve{
		Program: ledger.QuarantineProgram(key), Charge: ledger.RunCharge(run), Retention: quarantineRetention,
	})
	if err != nil {
		return err
	}
	reservation.StopRetrying()
	return nil
}

// RecordRunInBackground records a run of a request in all regions without waiting.
func (c *Cells) RecordRunInBackground(key quarantine.Key, run quarantine.Run) {
	for _, cell := range c.ForProgramInAllRegions(quarantineCell) {
		cell.recordRunInBackground(key, run)
	}
}

func (c *Client) recordRunInBackground(key quarantine.Key, run quarantine.Run) {
	c.Settle(ledger.QuarantineProgram(key), ledger.RunCharge(run), quarantineRetention)
}

// ReadQuarantine returns the requests with recorded runs that a quorum of the own region knows. It returns
// ErrNoQuorum if the context ends first.
func (c *Cells) ReadQuarantine(ctx context.Context) ([]quarantine.Record, error) {
	cell := c.ForProgram(quarantineCell, place.Homes{})
	if cell == nil {
		return nil, ErrNoQuorum
	}
	pending := &operation{request: ledger.Request{ReadQuarantine: &ledger.ReadQuarantine{MaxRuns: maxQuarantineRuns}}, votersOnly: true}
	number := cell.begin(pending)
	defer cell.end(number)
	err := cell.await(ctx, pending, func() bool { return cell.quorumReadQuarantine(pending) })
	if err != nil {
		return nil, err
	}
	cell.mu.Lock()
	defer cell.mu.Unlock()
	var records []quarantine.Record
	for _, reply := range pending.quarantine {
		records = append(records, reply.Records...)
	}
	return records, nil
}

// quorumReadQuarantine reports whether a quorum of voters has returned its records. The caller holds the
// lock.
func (c *Client) quorumReadQuarantine(pending *operation) bool {
	answered := 0
	for _, voter := range c.set.Voters {
		if pending.quarantine[voter.Disk] != nil {
			answered++
		}
	}
	return len(c.set.Voters) > 0 && answered >= c.set.Quorum()
}

// UnsettledTurns returns the turns of the reservation's program that have not ended, this one included: they are in
// progress, or their gateway was killed.
func (r *Reservation) UnsettledTurns() []string {
	r.client.mu.Lock()
	defer r.client.mu.Unlock()
	return ledger.UnsettledTurns(r.operation.tally.charges)
}

// RunsOf returns the runs of a request that are recorded under the reservation's program. The key is computed
// only if there are any runs.
func (r *Reservation) RunsOf(key func() quarantine.Key) []quarantine.Run {
	r.client.mu.Lock()
	defer r.client.mu.Unlock()
	return ledger.RunsOf(r.operation.tally.charges, key)
}
