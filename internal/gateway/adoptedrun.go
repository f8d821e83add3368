package gateway

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"swiftbank.dev/swiftbank/internal/backend"
	"swiftbank.dev/swiftbank/internal/quarantine"
)

// The gateway that sent a request watches what becomes of the instance after the run was lost. It may be killed before the
// instance ends. So a few other gateways adopt each lost run: the list of instances, and what their own requests meet, show
// an end to them as well. They open no connection until the list lacks the instance.
//
// Whoever finds an end records it under the id of the run, so that it counts once.

const (
	// adopters is how many gateways watch a lost run, the one that sent the request possibly among them: one that is
	// killed, and one that is starting, leave another.
	adopters = 3
	// handledTTL is how long it is remembered that a run is watched, or left to others. It is longer than a run matters.
	handledTTL = 30 * time.Second
	// adoptedWindow is how long an adopted run without an outcome is watched.
	adoptedWindow = 10 * time.Second
)

// adoptRuns begins to watch the lost runs of other gateways.
func (s *Server) adoptRuns(now time.Time) {
	c := s.containment
	if c.records.Load() == 0 {
		return
	}
	for _, record := range c.unhandled(now) {
		for _, run := range record.Runs {
			s.adoptRun(now, record.Key, run)
		}
	}
}

// unhandled returns the lost runs that this gateway neither watches nor leaves to others, and forgets those that do not
// matter any more.
func (c *containment) unhandled(now time.Time) []quarantine.Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.handled, func(_ string, since time.Time) bool { return now.Sub(since) > handledTTL })
	records := c.table.Unsettled(now)
	for index := range records {
		records[index].Runs = slices.DeleteFunc(records[index].Runs, func(run quarantine.Run) bool { return !c.handled[run.ID].IsZero() })
	}
	return records
}

// adoptRun begins to watch a lost run of another gateway, if this one is among its adopters and knows the instance.
func (s *Server) adoptRun(now time.Time, key quarantine.Key, run quarantine.Run) {
	instance, known := s.directory.Find(run.Instance)
	switch {
	case !s.isAdopter(run.ID):
		s.containment.markHandled(now, run.ID)
		return
	case !known || s.containment.watched() >= maxWatchedRuns/2:
		return
	}
	if run.Born != 0 {
		instance.Born = run.Born
	}
	lost := &lostRun{
		requestID: run.Attempt(), key: key, run: run, instance: instance, life: s.openLifeOf(instance.ID), cause: causeOfAdopted(run),
		sentAt: now, lostAt: now, isSuspected: true, isAdopted: true,
	}
	if run.IsExposed() {
		lost.exposedSince = now
	}
	s.log.Info().Str("event", "run_adopted").Str("id", lost.requestID).Str("request_key", key.String()).Str("instance", instance.ID).
		Str("outcome", run.State()).Bool("life_open", lost.life.IsOpen()).Msg("")
	s.watchLostRun(lost)
}

// causeOfAdopted returns how a run of another gateway was lost, as far as its record tells.
func causeOfAdopted(run quarantine.Run) lossCause {
	switch {
	case run.IsRefused():
		return runRefused
	case run.Outcome == quarantine.Silent:
		return machineSilent
	default:
		return connectionBroke
	}
}

// openLifeOf returns the life of an instance if a connection to it is open, else nil.
func (s *Server) openLifeOf(id string) *backend.Life {
	if life := s.pool.LifeOf(id); life.IsOpen() {
		return life
	}
	return nil
}

// markHandled records that a run is watched, or left to others.
func (c *containment) markHandled(now time.Time, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handled[id] = now
}

// isAdopter reports whether this gateway is one of the adopters of a run: all gateways rank each other alike.
func (s *Server) isAdopter(runID string) bool {
	names := s.gatewayNames.Load()
	if names == nil {
		return false
	}
	rank := func(name string) uint64 { return xxhash.Sum64String(runID + "/" + name) }
	own, before := rank(s.options.Node), 0
	for _, name := range *names {
		if name != s.options.Node && rank(name) < own {
			before++
		}
	}
	return before < adopters
}

// checkAdoptedRun records the end of the instance of another gateway's run. It reports whether the run need not be watched
// any more.
func (s *Server) checkAdoptedRun(now time.Time, lost *lostRun, entry backend.EntryState) (done bool) {
	if s.isAdoptedRunSettled(now, lost) {
		return true
	}
	switch {
	case entry == backend.EntryLeaving:
		return true
	case entry == backend.EntryReplaced, s.pool.HasRefusedSince(lost.instance.ID, lost.lostAt):
		s.settleAdoptedRun(lost, entry)
		return true
	case entry == backend.EntryGone:
		go s.probeAdoptedRun(lost)
		return true
	case lost.run.Outcome == quarantine.Silent && !lost.life.HasClosed() && s.listedFor(now, lost, entry) >= s.lapseTime():
		s.settleLostRun(context.Background(), nil, lost, quarantine.Survived, entry, "")
		return true
	default:
		return s.observedFor(now, lost.lostAt) >= adoptedWindow
	}
}

// isAdoptedRunSettled applies what became known of the run elsewhere. It reports whether its end does not matter any more.
func (s *Server) isAdoptedRunSettled(now time.Time, lost *lostRun) bool {
	run, known := s.containment.runOf(lost.key, lost.run.ID)
	if !known || isUnproven(run) {
		return true
	}
	if run.IsExposed() && !lost.isExposed() {
		lost.exposedSince, lost.lostAt = now, now
	}
	lost.run = run
	if lost.isExposed() {
		return !run.IsExposed() || s.observedFor(now, lost.exposedSince) >= run.ExposedFor()
	}
	return run.Outcome != quarantine.Running && run.Outcome != quarantine.Silent
}

// isUnproven reports whether nothing is left that could tell the outcome of a run.
func isUnproven(run quarantine.Run) bool {
	return run.Outcome == quarantine.Running && run.Unproven
}

// runOf returns a known run of a request.
func (c *containment) runOf(key quarantine.Key, id string) (run quarantine.Run, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.RunOf(key, id)
}

// settleAdoptedRun records that the instance of another gateway's run has ended.
func (s *Server) settleAdoptedRun(lost *lostRun, entry backend.EntryState) {
	if lost.isExposed() {
		lost.beginLate()
	}
	s.settleLostRun(context.Background(), nil, lost, quarantine.Ended, entry, "")
}

// probeAdoptedRun tells an instance that has ended from one that has left the list and serves on.
func (s *Server) probeAdoptedRun(lost *lostRun) {
	contact, known := s.pool.ContactSince(context.Background(), lost.instance, time.Now())
	if known && contact != backend.Accepted || lost.life.HasClosed() {
		s.settleAdoptedRun(lost, backend.EntryGone)
	}
}
