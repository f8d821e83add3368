package command

import (
	"context"
	"os/signal"
	"sync"
	"syscall"

	"github.com/sourcegraph/conc"
	"github.com/spf13/cobra"

	"swiftbank.dev/swiftbank/internal/feed"
	"swiftbank.dev/swiftbank/internal/learned"
	"swiftbank.dev/swiftbank/internal/registry"
	"swiftbank.dev/swiftbank/internal/replica"
	"swiftbank.dev/swiftbank/internal/replicaset"
	"swiftbank.dev/swiftbank/internal/route"
	"swiftbank.dev/swiftbank/internal/settings"
	"swiftbank.dev/swiftbank/internal/traffic"
	"swiftbank.dev/swiftbank/platform"
)

func newReplicaCommand() *cobra.Command {
	var flags fleetFlags
	command := &cobra.Command{
		Annotations: map[string]string{servesUntilStopped: "true"},
		Use:         "replica",
		Short:       "Run a replica of turns and charges on a machine with a disk until SIGTERM",
		Example:     "  swiftbank replica --settings replica.yaml",
		Args:        cobra.NoArgs,
	}
	flags.add(command)
	command.RunE = func(command *cobra.Command, _ []string) error {
		config, err := settings.LoadReplica(flags.settingsFile, flags.overrides)
		if err != nil {
			return exitWith(ExitUsage, err)
		}
		ctx, stop := signal.NotifyContext(command.Context(), syscall.SIGTERM, syscall.SIGINT)
		defer stop()
		if err := runReplica(ctx, config, flags); err != nil {
			return exitWith(ExitFailure, err)
		}
		return nil
	}
	return command
}

// runReplica runs until ctx ends. Nothing acknowledged waits for a planned stop.
func runReplica(ctx context.Context, config settings.Replica, flags fleetFlags) error {
	process := newProcess(config.Member)
	defer process.close()
	metrics := replica.NewMetrics(config.Node)
	sent := traffic.NewCounter(config.Node, config.Zone, config.Places(), metrics.Registry)
	store := platform.NewStore(config.StoreAddress, metrics.StoreCall, process.storeCallFailed)
	starting := &startingReplica{}
	knowledge := feed.NewNode(feed.Options{
		Node: config.Node, Zone: config.Zone, Places: config.Places(), Role: replicaset.RoleReplica, Store: store,
		Metrics: metrics, Traffic: sent, Log: process.log, StoreCallFailed: process.storeCallFailed,
		Evacuations:       config.EvacuationLimit > 0,
		StoreStateChanged: func(err error) { process.contact("store", err) },
		Handlers: feed.Handlers{
			Status: starting.knowledgeChanged, Members: starting.membersChanged, Retirements: starting.retirementsChanged, Configuration: starting.configurationChanged,
		},
	})
	copied := feed.NewCopyFile(config.DataFolder, process.log)
	knowledge.Load(copied.Load())
	var running conc.WaitGroup
	if config.CopyAddress != "" {
		running.Go(func() { process.failing("feed", knowledge.Serve(ctx, config.CopyAddress)) })
	}
	running.Go(func() { knowledge.Run(ctx) })
	server, err := replica.New(replica.Options{
		Node: config.Node, Zone: config.Zone, Address: config.PeerAddress, Advertised: config.Advertised(), Feed: config.CopyAddress,
		DataFolder: config.DataFolder, DiskMB: config.DiskMB, MemoryMB: config.MemoryMB, Tolerate: config.TolerateMachines,
		Places: config.CellPlaces(), Registry: store,
		LookupCached: knowledge.Member, Retirements: store, Log: process.log, Metrics: metrics, Traffic: sent, Quota: config.Quota(),
	})
	if err != nil {
		process.log.Error().Str("event", "start_failed").Err(err).Msg("")
		return err
	}
	starting.started(server)
	running.Go(func() { copied.Run(ctx, knowledge) })
	running.Go(func() {
		process.failing("learned", learned.NewCache().Serve(ctx, config.PeerAddress, process.log, sent))
	})
	running.Go(func() { process.failing("metrics", serveMetrics(ctx, config.MetricsAddress, metrics.Registry)) })
	running.Go(func() {
		process.watchReload(ctx, func() (settings.Member, error) {
			fresh, err := settings.LoadReplica(flags.settingsFile, flags.overrides)
			return fresh.Member, err
		})
	})
	return server.Run(ctx)
}

// startingReplica keeps what the feed tells until the replica has read its log: what others
// learn from this process does not wait for that.
type startingReplica struct {
	mu     sync.Mutex
	server *replica.Server
	// waiting holds the newest news of each kind.
	waiting [kindsOfNews]func(*replica.Server)
}

// newsKind is a kind of news for a replica.
type newsKind uint8

const (
	newsOfMembers newsKind = iota
	newsOfRetirements
	newsOfConfiguration
	newsOfFreshness
	kindsOfNews
)

// tell hands news over, now or once the replica has started.
func (s *startingReplica) tell(kind newsKind, news func(*replica.Server)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server == nil {
		s.waiting[kind] = news
		return
	}
	news(s.server)
}

// started hands over what was told so far.
func (s *startingReplica) started(server *replica.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.server = server
	for _, news := range s.waiting {
		if news != nil {
			news(server)
		}
	}
}

func (s *startingReplica) membersChanged(objects []registry.Object) {
	s.tell(newsOfMembers, func(server *replica.Server) { server.MembersChanged(objects) })
}

func (s *startingReplica) retirementsChanged(states map[string]feed.RetirementState) {
	s.tell(newsOfRetirements, func(server *replica.Server) { server.RetirementsChanged(states) })
}

func (s *startingReplica) configurationChanged(table *route.Table) {
	s.tell(newsOfConfiguration, func(server *replica.Server) { server.ConfigurationChanged(table) })
}

func (s *startingReplica) knowledgeChanged(status feed.Status) {
	s.tell(newsOfFreshness, func(server *replica.Server) { server.FeedStatusChanged(status) })
}
