package feed

import (
	"context"
	"errors"
	"time"

	"swiftbank.dev/swiftbank/internal/wait"
)

const (
	// probeInterval is the time between probes of the store; probeTimeout bounds each probe.
	probeInterval = time.Second
	probeTimeout  = 900 * time.Millisecond
	// minProbeRetryDelay and maxProbeRetryDelay bound the backoff between probes while the
	// store does not answer. A reader notices its recovery within a second.
	minProbeRetryDelay = 200 * time.Millisecond
	maxProbeRetryDelay = 800 * time.Millisecond
	// slowKindRounds is the number of rounds between probes of kinds that are not urgent.
	slowKindRounds = 8
	// urgentKindRounds is the maximum number of rounds between two probes of an urgent kind.
	urgentKindRounds = 2
)

// monitor detects whether the store answers and whether an open watch missed a change. A
// watch cannot distinguish a store without changes from one that dropped the watch or its
// history. A probe is a watch that does not wait and may read stale data, which costs the
// store a tenth of a regular call.
type monitor struct {
	store     Store
	sink      storeSink
	informers []*informer
	// storeReached is closed once the store has answered a probe.
	storeReached chan struct{}
}

// run probes until the context ends.
func (m *monitor) run(ctx context.Context) {
	lost, reached := false, false
	pause := minProbeRetryDelay
	for round := 0; ctx.Err() == nil; round++ {
		err := m.probeAll(ctx, round)
		if ctx.Err() != nil {
			return
		}
		if (err != nil) != lost {
			lost = err != nil
			m.setLost(lost)
			m.sink.storeStateChanged(err)
			if !lost {
				m.restartAll()
			}
		}
		if lost {
			wait.For(ctx, pause)
			pause = min(2*pause, maxProbeRetryDelay)
			continue
		}
		if !reached {
			reached = true
			close(m.storeReached)
		}
		pause = minProbeRetryDelay
		wait.For(ctx, probeInterval)
	}
}

// probeAll probes the kinds that are due and returns an error if the store does not answer.
// Urgent kinds take turns, so that each is probed at least every second round.
func (m *monitor) probeAll(ctx context.Context, round int) error {
	for _, informer := range m.due(round) {
		if err := m.probe(ctx, informer); err != nil {
			return err
		}
	}
	return nil
}

// due returns the informers to probe in the given round.
func (m *monitor) due(round int) []*informer {
	var urgent, slow []*informer
	for _, informer := range m.informers {
		if informer.urgent {
			urgent = append(urgent, informer)
		} else {
			slow = append(slow, informer)
		}
	}
	switch {
	case len(urgent) == 0 && len(slow) == 0:
		return nil
	case len(urgent) == 0:
		return []*informer{slow[round%len(slow)]}
	}
	var due []*informer
	perRound := (len(urgent) + urgentKindRounds - 1) / urgentKindRounds
	for offset := range perRound {
		due = append(due, urgent[(round*perRound+offset)%len(urgent)])
	}
	if len(slow) > 0 && round%slowKindRounds == 0 {
		due = append(due, slow[round/slowKindRounds%len(slow)])
	}
	return due
}

// probe restarts the informer's watch if the store has changes that the watch did not deliver,
// and returns an error if the store does not answer.
func (m *monitor) probe(ctx context.Context, informer *informer) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	position := m.sink.position(informer.kind)
	records, _, err := m.store.Watch(ctx, informer.kind, position.At, 0, true)
	if errors.Is(err, ErrHistoryExpired) {
		informer.restart()
		return nil
	}
	if err != nil {
		return err
	}
	switch {
	case len(records) == 0:
		m.sink.confirmKind(informer.kind)
	case m.sink.position(informer.kind) == position:
		informer.restart()
	}
	return nil
}

// setLost sets on all informers whether the store is lost.
func (m *monitor) setLost(lost bool) {
	for _, informer := range m.informers {
		informer.lost.Store(lost)
	}
}

func (m *monitor) restartAll() {
	for _, informer := range m.informers {
		informer.restart()
	}
}
