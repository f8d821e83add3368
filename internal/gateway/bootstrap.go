package gateway

import (
	"context"
	"time"

	"swiftbank.dev/swiftbank/internal/bootstrap"
	"swiftbank.dev/swiftbank/internal/quorum"
	"swiftbank.dev/swiftbank/internal/wait"
)

const (
	// bootstrapAfter is how long the store may take to tell a starting gateway what it
	// needs before the replicas' copies are asked; bootstrapPause is between two rounds.
	bootstrapAfter = 250 * time.Millisecond
	bootstrapPause = 200 * time.Millisecond
	// copySettle is how long a newer copy is awaited once one is there.
	copySettle = 50 * time.Millisecond
)

// heard says what the store itself has told.
type heard struct{ configuration, instances, members bool }

// Bootstrap starts the gateway from a replica's copy of what the store last said, if the
// store does not answer. What the store says replaces it at any time.
func (s *Server) Bootstrap(ctx context.Context, seeds []string, gossip *Gossip, relays *quorum.Relays) {
	wait.For(ctx, bootstrapAfter)
	for len(seeds) > 0 && ctx.Err() == nil && !s.storeHeard() {
		if seed, state, found := s.newestCopy(ctx, seeds); found {
			s.startFrom(state, seed, gossip, relays)
			return
		}
		wait.For(ctx, bootstrapPause)
	}
}

// fetched is a seed's answer.
type fetched struct {
	seed  string
	state bootstrap.State
	err   error
}

// newestCopy asks all seeds and returns the newest copy among those that answer within
// copySettle of the first.
func (s *Server) newestCopy(ctx context.Context, seeds []string) (seed string, newest bootstrap.State, found bool) {
	answers := make(chan fetched, len(seeds))
	for _, asked := range seeds {
		go func() {
			state, err := bootstrap.Fetch(ctx, s.options.Node, asked)
			answers <- fetched{seed: asked, state: state, err: err}
		}()
	}
	var settle <-chan time.Time
	for range seeds {
		select {
		case answer := <-answers:
			if answer.err != nil {
				s.log.Info().Str("event", "copy_not_fetched").Str("seed", answer.seed).Err(answer.err).Msg("")
				continue
			}
			if !found || answer.state.Configuration.Version > newest.Configuration.Version {
				seed, newest, found = answer.seed, answer.state, true
			}
			if settle == nil {
				settle = time.After(copySettle)
			}
		case <-settle:
			return seed, newest, found
		}
	}
	return seed, newest, found
}

// storeHeard reports whether the store answers: it has told of instances and members. A
// store without a configuration answers too, and no copy has one then.
func (s *Server) storeHeard() bool {
	s.sources.Lock()
	defer s.sources.Unlock()
	return s.heard.instances && s.heard.members
}

// startFrom takes in the parts of a copy that the store has not told of.
func (s *Server) startFrom(state bootstrap.State, seed string, gossip *Gossip, relays *quorum.Relays) {
	s.sources.Lock()
	defer s.sources.Unlock()
	s.log.Info().Str("event", "started_from_copy").Str("seed", seed).Uint64("version", state.Configuration.Version).
		Int("instances", len(state.Instances)).Int("members", len(state.Members)).Msg("")
	if !s.heard.configuration {
		s.fromCopy.Store(true)
		s.adoptConfiguration(state.Configuration.Table())
	}
	if !s.heard.members {
		s.adoptMembers(state.Members, gossip, relays)
	}
	if !s.heard.instances {
		s.adoptInstances(state.Instances)
	}
}
