package feed

import (
	"context"
	"errors"
	"time"

	"swiftbank.dev/swiftbank/internal/wait"
)

const (
	// probeInterval is how often the store is asked whether it answers; probeTimeout is
	// how long an answer may take.
	probeInterval = time.Second
	probeTimeout  = 900 * time.Millisecond
	// probeRetryFirst and probeRetryMost bound the pause between probes while the store
	// does not answer. A reader notices its return within a second.
	probeRetryFirst = 200 * time.Millisecond
	probeRetryMost  = 800 * time.Millisecond
	// slowRounds is how many rounds pass between the probes of kinds that may be late.
	slowRounds = 8
	// urgentRounds is how many rounds may pass between the probes of an urgent kind.
	urgentRounds = 2
)

// monitor finds out whether the store answers and whether a waiting watch missed a
// change: a watch cannot tell a store without news from one that forgot the watch
// or its history. A probe is a watch that does not wait and may be stale, which
// costs a tenth of a call.
type monitor struct {
	store     Store
	known     knowledge
	informers []*informer
	// reached is closed once the store has answered.
	reached chan struct{}
}

// run probes until the context ends.
func (m *monitor) run(ctx context.Context) {
	lost, reached := false, false
	pause := probeRetryFirst
	for round := 0; ctx.Err() == nil; round++ {
		err := m.probeAll(ctx, round)
		if ctx.Err() != nil {
			return
		}
		if (err != nil) != lost {
			lost = err != nil
			m.setLost(lost)
			m.known.contact(err)
			if !lost {
				m.restartAll()
			}
		}
		if lost {
			wait.For(ctx, pause)
			pause = min(2*pause, probeRetryMost)
			continue
		}
		if !reached {
			reached = true
			close(m.reached)
		}
		pause = probeRetryFirst
		wait.For(ctx, probeInterval)
	}
}

// probeAll probes the kinds that are due and returns the error of a store that does
// not answer. Urgent kinds take turns, so that each is asked about in at least every second
// round.
func (m *monitor) probeAll(ctx context.Context, round int) error {
	for _, informer := range m.due(round) {
		if err := m.probe(ctx, informer); err != nil {
			return err
		}
	}
	return nil
}

// due returns the informers to probe in a round.
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
	most := (len(urgent) + urgentRounds - 1) / urgentRounds
	for offset := range most {
		due = append(due, urgent[(round*most+offset)%len(urgent)])
	}
	if len(slow) > 0 && round%slowRounds == 0 {
		due = append(due, slow[round/slowRounds%len(slow)])
	}
	return due
}

func (m *monitor) probe(ctx context.Context, informer *informer) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	position := m.known.position(informer.kind)
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
		m.known.confirmed(informer.kind)
	case m.known.position(informer.kind) == position:
		informer.restart()
	}
	return nil
}

// setLost tells the informers whether the store answers.
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
