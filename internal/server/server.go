package server

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/phuslu/log"
	"github.com/sourcegraph/conc"

	"swiftbank.dev/swiftbank/internal/core"
	"swiftbank.dev/swiftbank/internal/objectapi"
	"swiftbank.dev/swiftbank/internal/settings"
	"swiftbank.dev/swiftbank/internal/topology"
)

// eventBuffer is how many events may wait for the core.
const eventBuffer = 8192

// Server is one live node.
type Server struct {
	settings settings.Node
	logger   *log.Logger
	core     *core.Node
	events   chan core.Event
	queries  chan func(*core.Node)
	peers    *peerTransport
	streams  *streamTable
	callers  *callerTable
	backEnds *backEndClient
	platform *platformWatcher
	metrics  *metrics

	callerListener   net.Listener
	operatorListener net.Listener
	callerServer     *http.Server
	operatorServer   *http.Server

	tasks     conc.WaitGroup
	cancel    context.CancelFunc
	context   context.Context
	stopReady chan struct{}
	// coreDone is closed when the core goroutine has ended.
	coreDone chan struct{}
}

// New opens the node's listeners. Serving begins with Run.
func New(config settings.Node, logger *log.Logger) (*Server, error) {
	layout, err := topology.New(config.Nodes, config.ShardsPerCell)
	if err != nil {
		return nil, err
	}
	own, found := layout.Node(config.ID)
	if !found {
		return nil, fmt.Errorf("server: node %q is not in the list of nodes", config.ID)
	}
	incarnation := uint64(time.Now().UnixNano())
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		settings: config, logger: logger, context: ctx, cancel: cancel,
		events: make(chan core.Event, eventBuffer), queries: make(chan func(*core.Node), 64),
		stopReady: make(chan struct{}), coreDone: make(chan struct{}),
		metrics: newMetrics(config.ID),
		core: core.New(core.Config{
			Node: config.ID, Incarnation: incarnation, Topology: layout, Seed: incarnation,
			Timeouts: core.Timeouts{Engine: config.Timeouts.Engine, Application: config.Timeouts.Application, Tool: config.Timeouts.Tool},
		}),
	}
	s.callers = newCallerTable(incarnation)
	s.peers = newPeerTransport(s, layout)
	s.streams = newStreamTable(config.ID, s.callers, s.peers)
	s.backEnds = newBackEndClient(s)
	s.platform = newPlatformWatcher(s, objectapi.New(config.PlatformAddress))
	if err := s.listen(own.Address); err != nil {
		cancel()
		return nil, err
	}
	return s, nil
}

func (s *Server) listen(peerAddress string) error {
	var err error
	if s.callerListener, err = net.Listen("tcp", s.settings.CallerAddress); err != nil {
		return fmt.Errorf("server: callerAddress: %w", err)
	}
	if s.operatorListener, err = net.Listen("tcp", s.settings.OperatorAddress); err != nil {
		return errors.Join(fmt.Errorf("server: operatorAddress: %w", err), s.callerListener.Close())
	}
	if err = s.peers.listen(peerAddress); err != nil {
		return errors.Join(err, s.callerListener.Close(), s.operatorListener.Close())
	}
	return nil
}

// CallerAddress returns the address on which callers are served.
func (s *Server) CallerAddress() string { return s.callerListener.Addr().String() }

// OperatorAddress returns the address of metrics, health and status.
func (s *Server) OperatorAddress() string { return s.operatorListener.Addr().String() }

// Run serves until ctx ends, then drains: readiness goes first, leadership
// moves, work in progress ends, and only then the listeners close.
func (s *Server) Run(ctx context.Context) error {
	s.callerServer = s.newCallerServer()
	s.operatorServer = &http.Server{Handler: s.operatorHandler(), ReadHeaderTimeout: s.settings.Limits.HeaderTime}
	s.tasks.Go(s.runCore)
	s.tasks.Go(s.peers.run)
	s.tasks.Go(func() { s.serveHTTP(s.callerServer, s.callerListener) })
	s.tasks.Go(func() { s.serveHTTP(s.operatorServer, s.operatorListener) })
	s.logger.Info().Str("node", s.settings.ID).Str("caller_address", s.CallerAddress()).
		Str("operator_address", s.OperatorAddress()).Msg("node started")
	<-ctx.Done()
	s.drain()
	return nil
}

// drain carries out the planned stop.
func (s *Server) drain() {
	s.logger.Info().Str("node", s.settings.ID).Msg("drain started")
	s.push(core.StopWanted{})
	timeout := time.NewTimer(s.settings.Timeouts.Drain)
	defer timeout.Stop()
	select {
	case <-s.stopReady:
	case <-timeout.C:
		s.logger.Warn().Str("node", s.settings.ID).Msg("drain ran out of time")
	}
	shutdown, cancel := context.WithTimeout(context.Background(), s.settings.Limits.WriteTime)
	defer cancel()
	_ = s.callerServer.Shutdown(shutdown)
	s.Kill()
	s.logger.Info().Str("node", s.settings.ID).Msg("node stopped")
}

// Kill stops the node at once, without drain, and waits for its goroutines.
func (s *Server) Kill() {
	s.cancel()
	_ = s.callerServer.Close()
	_ = s.operatorServer.Close()
	s.peers.close()
	s.backEnds.close()
	s.tasks.Wait()
}

func (s *Server) serveHTTP(server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		s.logger.Error().Err(err).Msg("listener failed")
	}
}

// push hands an event to the core.
func (s *Server) push(event core.Event) {
	select {
	case s.events <- event:
	case <-s.context.Done():
	}
}

// query runs a function in the core's goroutine and waits for it. It reports
// false when the node has stopped.
func (s *Server) query(read func(*core.Node)) bool {
	done := make(chan struct{})
	wrapped := func(n *core.Node) {
		read(n)
		close(done)
	}
	select {
	case s.queries <- wrapped:
	case <-s.context.Done():
		return false
	}
	select {
	case <-done:
		return true
	case <-s.coreDone:
		return false
	}
}

// runCore is the only goroutine that touches the core.
func (s *Server) runCore() {
	defer close(s.coreDone)
	ticker := time.NewTicker(core.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.context.Done():
			return
		case event := <-s.events:
			s.step(event)
		case read := <-s.queries:
			read(s.core)
		case <-ticker.C:
			s.step(core.Tick{})
		}
	}
}

func (s *Server) step(event core.Event) {
	for _, action := range s.core.Step(time.Now(), event) {
		s.perform(action)
	}
}

// perform carries out one action without waiting for anything.
func (s *Server) perform(action core.Action) {
	switch a := action.(type) {
	case core.SendPeer:
		s.peers.sendEnvelope(a.To, a.Envelope)
	case core.ReplyCaller:
		s.callers.finish(a.RequestID, a.Reply)
	case core.StartAttempt:
		s.metrics.attempts.Inc()
		s.backEnds.start(a)
	case core.CancelAttempt:
		s.backEnds.cancel(a)
	case core.BindStream:
		s.streams.bind(a)
	case core.ReleaseCache:
		s.tasks.Go(func() { s.backEnds.release(a) })
	case core.ListHolds:
		s.tasks.Go(func() { s.backEnds.listHolds(a.BackEnd) })
	case core.ReadChanges:
		s.platform.readChanges(a.After)
	case core.ReadMachines:
		s.platform.readMachines()
	case core.PollLoad:
		s.tasks.Go(func() { s.backEnds.pollLoad(a.BackEnd) })
	case core.FormCell:
		s.platform.formCell(a)
	case core.StopReady:
		close(s.stopReady)
	case core.LogEvent:
		s.logger.Info().Str("node", s.settings.ID).Uint32("shard", a.Shard).Str("tenant", a.Call.Key.Tenant).
			Str("session", a.Call.Key.Session).Str("detail", a.Detail).Msg(a.Message)
	}
}
