// Package bootstrap lets gateways start while the shared store is away. Each replica
// keeps a copy of what the store last said, on its disk, and hands it to any process that
// asks. A copy may be old: whoever starts from it goes on asking the store, whose word
// replaces it.
package bootstrap

import (
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"net"
	"time"

	"swiftbank.dev/swiftbank/internal/backend"
	"swiftbank.dev/swiftbank/internal/peer"
	"swiftbank.dev/swiftbank/internal/registry"
	"swiftbank.dev/swiftbank/internal/route"
)

// State is a copy of what the shared store last said. Each part is empty while its keeper
// has not heard of it.
type State struct {
	Configuration Configuration
	Instances     []backend.Instance
	Members       []registry.Object
}

// Configuration is a route.Table in the form in which it is stored and sent.
type Configuration struct {
	Version  uint64
	Routes   []*route.Route
	Services []route.Service
	Limits   route.Limits
}

// configurationOf returns a table in that form.
func configurationOf(table *route.Table) Configuration {
	configuration := Configuration{Version: table.Version, Routes: table.Routes(), Limits: table.Limits}
	for _, service := range table.Services {
		configuration.Services = append(configuration.Services, service)
	}
	return configuration
}

// Table returns the configuration, or nil when the copy has none.
func (c Configuration) Table() *route.Table {
	if c.Version == 0 {
		return nil
	}
	return route.NewTable(c.Version, c.Routes, c.Services, c.Limits)
}

// Whole reports whether the copy is enough to serve from.
func (s State) Whole() bool {
	return s.Configuration.Version > 0 && len(s.Instances) > 0 && len(s.Members) > 0
}

// request asks a keeper for its copy.
type request struct {
	// Asking is the name of the process that asks.
	Asking string
}

// fetchTimeout bounds one question to a keeper.
const fetchTimeout = 300 * time.Millisecond

// errIncomplete says that a keeper has no whole copy.
var errIncomplete = errors.New("bootstrap: the copy is not whole")

// Fetch asks the keeper at an address for its copy.
func Fetch(ctx context.Context, asking, address string) (State, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	connection, err := peer.Dialer(fetchTimeout).DialContext(ctx, "tcp", address)
	if err != nil {
		return State{}, fmt.Errorf("bootstrap: %w", err)
	}
	defer connection.Close()
	if deadline, bounded := ctx.Deadline(); bounded {
		_ = connection.SetDeadline(deadline)
	}
	if err := gob.NewEncoder(connection).Encode(request{Asking: asking}); err != nil {
		return State{}, fmt.Errorf("bootstrap: %w", err)
	}
	var state State
	if err := gob.NewDecoder(connection).Decode(&state); err != nil {
		return State{}, fmt.Errorf("bootstrap: %w", err)
	}
	if !state.Whole() {
		return State{}, errIncomplete
	}
	return state, nil
}

// serve answers those who ask until the context ends.
func serve(ctx context.Context, listener net.Listener, copied func(asking string) State) {
	server := peer.NewServer(listener, func(from *peer.Connection[State], asked request) {
		from.Send(copied(asked.Asking))
	})
	stop := context.AfterFunc(ctx, server.Close)
	defer stop()
	server.Run()
}
