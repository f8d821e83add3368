package command

import (
	"context"
	"os/signal"
	"sync"
	"syscall"

	"github.com/julienschmidt/httprouter"
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

// runReplica runs a replica until ctx ends. A planned stop has nothing to flush: acknowledged
// writes are already durable.
func runReplica(ctx context.Context, config settings.Replica, flags fleetFlags) error {
	process := newProcess(config.Member)
	defer process.close()
	metrics := replica.NewMetrics(config.Node)
	sentBytes := traffic.NewCounter(config.Node, config.Zone, config.Places(), metrics.Registry)
	metrics.Registry.MustRegister(process.unreadable)
	store := platform.NewStore(config.StoreAddress, metrics.StoreCall, process.storeCallFailed)
	starting := &startingReplica{}
	feedNode := feed.NewNode(feed.Options{
		Node: config.Node, Zone: config.Zone, Places: config.Places(), Role: replicaset.RoleReplica, Store: store,
		Metrics: metrics, Traffic: sentBytes, Log: process.log, StoreCallFailed: process.storeCallFailed,
		Evacuations:       config.EvacuationLimit > 0,
		StoreStateChanged: func(err error) { process.logDependency("store", err) },
		Handlers: feed.Handlers{
			Status: starting.statusChanged, Members: starting.membersChanged, Retirements: starting.retirementsChanged, Configuration: starting.configurationChanged,
		},
	})
	copyFile := feed.NewCopyFile(config.DataFolder, process.log)
	feedNode.Load(copyFile.Load())
	var tasks conc.WaitGroup
	if config.CopyAddress != "" {
		tasks.Go(func() { process.logFailure("feed", feedNode.Serve(ctx, config.CopyAddress)) })
	}
	tasks.Go(func() { feedNode.Run(ctx) })
	server, err := replica.New(replica.Options{
		Node: config.Node, Zone: config.Zone, Address: config.PeerAddress, Advertised: config.Advertised(), Feed: config.CopyAddress,
		DataFolder: config.DataFolder, DiskMB: config.DiskMB, MemoryMB: config.MemoryMB, Tolerate: config.TolerateMachines,
		Places: config.CellPlaces(), Registry: store,
		LookupCached: feedNode.Member, Retirements: store, Log: process.log, Metrics: metrics, Traffic: sentBytes, Quota: config.Quota(),
	})
	if err != nil {
		process.log.Error().Str("event", "start_failed").Err(err).Msg("")
		return err
	}
	starting.setServer(server)
	tasks.Go(func() { copyFile.Run(ctx, feedNode) })
	tasks.Go(func() {
		process.logFailure("learned", learned.NewCache().Serve(ctx, config.PeerAddress, process.log, sentBytes))
	})
	tasks.Go(func() {
		process.logFailure("metrics", serveMetrics(ctx, config.MetricsAddress, metrics.Registry, func(*httprouter.Router) {}))
	})
	tasks.Go(func() {
		process.watchReload(ctx, func() (settings.Member, error) {
			reloaded, err := settings.LoadReplica(flags.settingsFile, flags.overrides)
			return reloaded.Member, err
		})
	})
	return server.Run(ctx)
}

// startingReplica buffers the feed's updates until the replica has read its log. The feed runs
// before that, so that processes that read it from this one do not wait for the log.
type startingReplica struct {
	mu     sync.Mutex
	server *replica.Server
	// pending holds the latest update of each kind.
	pending [updateKindCount]func(*replica.Server)
}

// updateKind is a kind of update from the feed to a replica.
type updateKind uint8

const (
	membersUpdate updateKind = iota
	retirementsUpdate
	configurationUpdate
	statusUpdate
	updateKindCount
)

// deliver passes an update to the replica, now or once it has started.
func (s *startingReplica) deliver(kind updateKind, update func(*replica.Server)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server == nil {
		s.pending[kind] = update
		return
	}
	update(s.server)
}

// setServer sets the started replica and delivers the pending updates to it.
func (s *startingReplica) setServer(server *replica.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.server = server
	for _, update := range s.pending {
		if update != nil {
			update(server)
		}
	}
}

func (s *startingReplica) membersChanged(objects []registry.Object) {
	s.deliver(membersUpdate, func(server *replica.Server) { server.MembersChanged(objects) })
}

func (s *startingReplica) retirementsChanged(states map[string]feed.RetirementState) {
	s.deliver(retirementsUpdate, func(server *replica.Server) { server.RetirementsChanged(states) })
}

func (s *startingReplica) configurationChanged(table *route.Table) {
	s.deliver(configurationUpdate, func(server *replica.Server) { server.ConfigurationChanged(table) })
}

func (s *startingReplica) statusChanged(status feed.Status) {
	s.deliver(statusUpdate, func(server *replica.Server) { server.FeedStatusChanged(status) })
}
