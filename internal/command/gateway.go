package command

import (
	"context"
	"os/signal"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/spf13/cobra"

	"swiftbank.dev/swiftbank/internal/backend"
	"swiftbank.dev/swiftbank/internal/coldstart"
	"swiftbank.dev/swiftbank/internal/feed"
	"swiftbank.dev/swiftbank/internal/gateway"
	"swiftbank.dev/swiftbank/internal/quorum"
	"swiftbank.dev/swiftbank/internal/registry"
	"swiftbank.dev/swiftbank/internal/replicaset"
	"swiftbank.dev/swiftbank/internal/settings"
	"swiftbank.dev/swiftbank/internal/traffic"
	"swiftbank.dev/swiftbank/platform"
)

// stopReserve is the part of a planned stop's grace period that is reserved for the exit of the
// process after the requests have drained.
const stopReserve = 600 * time.Millisecond

func newGatewayCommand() *cobra.Command {
	var flags fleetFlags
	command := &cobra.Command{
		Annotations: map[string]string{servesUntilStopped: "true"},
		Use:         "gateway",
		Short:       "Run a gateway on the operators' platform until SIGTERM, then drain and exit",
		Example:     "  swiftbank gateway --settings gateway.yaml",
		Args:        cobra.NoArgs,
	}
	flags.add(command)
	command.RunE = func(command *cobra.Command, _ []string) error {
		config, err := settings.LoadGateway(flags.settingsFile, flags.overrides)
		if err != nil {
			return exitWith(ExitUsage, err)
		}
		ctx, stop := signal.NotifyContext(command.Context(), syscall.SIGTERM, syscall.SIGINT)
		defer stop()
		if err := runGateway(ctx, config, flags); err != nil {
			return exitWith(ExitFailure, err)
		}
		return nil
	}
	return command
}

// runGateway runs a gateway until ctx ends and the requests in progress have finished.
func runGateway(ctx context.Context, config settings.Gateway, flags fleetFlags) error {
	process := newProcess(config.Member)
	defer process.close()
	// The feed, the replica connections and the readiness endpoint stay up until the last request
	// has finished.
	servingCtx, stopServing := context.WithCancel(context.Background())
	defer stopServing()
	metrics := gateway.NewMetrics(config.Node)
	directory := backend.NewDirectory(config.Zone)
	directory.SetSeed(config.Node)
	directory.UsePlaces(config.Places())
	replicas := quorum.NewCells(servingCtx, config.Node, config.Zone, config.Places(), process.log)
	relays := quorum.NewRelays(servingCtx, config.Node, config.Zone, config.Places(), process.log, metrics.Relayed)
	replicas.UseRelays(relays)
	sentBytes := traffic.NewCounter(config.Node, config.Zone, config.Places(), metrics.Registry)
	replicas.CountTraffic(sentBytes)
	server := gateway.New(gateway.Options{
		Node: config.Node, Zone: config.Zone, Dialect: platform.Dialect(), Directory: directory, Replicas: replicas,
		Log: process.log, Metrics: metrics, Copies: config.TolerateMachines + 1,
		Evacuations:      config.EvacuationLimit > 0,
		LoadControl:      platform.RequiresLoadControl(config.Guarantees),
		InstanceSpeeds:   config.InstanceSpeeds,
		ProgramAdmission: config.ProgramAdmission,
		ReportsAge:       config.ReportsAge,
		HeldBytes:        config.HeldBytes(),
		MemoryBytes:      int64(config.MemoryMB) << 20,
		LimitSetAside:    config.LimitSetAside,
		FairShares:       config.FairShares,
		EndedInstances:   config.EndedInstances,
		RenewalInterval:  config.RenewalInterval,
		DrainTime:        config.DrainTime,
		ColdStarts:       coldstart.Policy{Overage: config.ColdOverage, Slack: config.ColdSlack},
	})
	gossip := gateway.NewGossip(config.Node, config.Zone, config.Places(), directory, sentBytes)
	gossip.AddSection(server.ProgramSection())
	if config.ProgramAdmission {
		gossip.EnableLearnedCache(process.log)
	}
	gossip.AddSection(server.QuarantineSection())
	if config.InstanceSpeeds {
		gossip.AddSection(gateway.NewSpeedSection(directory, process.log, metrics))
	}
	if config.FairShares && platform.RequiresLoadControl(config.Guarantees) {
		gossip.AddSection(server.ShareSection())
	}
	metrics.Registry.MustRegister(process.unreadable)
	store := platform.NewStore(config.StoreAddress, metrics.StoreCall, process.storeCallFailed)
	feedNode := feed.NewNode(feed.Options{
		Node: config.Node, Zone: config.Zone, Places: config.Places(), Role: replicaset.RoleGateway, Seeds: config.Seeds, FirstStart: config.FirstStart, Store: store,
		Metrics: metrics, Traffic: sentBytes, Log: process.log, StoreCallFailed: process.storeCallFailed,
		Evacuations:       config.EvacuationLimit > 0,
		StoreStateChanged: func(err error) { process.logDependency("store", err) },
		Handlers: feed.Handlers{
			Status: server.FeedStatusChanged, Configuration: server.ConfigurationChanged, Instances: server.InstancesChanged,
			Evacuations: server.EvacuationsChanged,
			Members:     func(objects []registry.Object) { server.MembersChanged(objects, gossip, relays) },
		},
	})
	process.log.Info().Str("event", "start").Str("role", "gateway").Str("zone", config.Zone).
		Str("callers", config.CallerAddress).Str("store", config.StoreAddress).
		Bool("load_control", platform.RequiresLoadControl(config.Guarantees)).Msg("")
	var tasks conc.WaitGroup
	tasks.Go(func() { feedNode.Run(servingCtx) })
	tasks.Go(func() { server.RunContainment(servingCtx) })
	tasks.Go(func() { process.logFailure("gossip", gossip.Run(servingCtx, config.PeerAddress)) })
	tasks.Go(func() { process.logFailure("relaying", replicas.ServeRelays(servingCtx, config.PeerAddress)) })
	tasks.Go(func() {
		process.logFailure("metrics", serveMetrics(servingCtx, config.MetricsAddress, metrics.Registry, server.RouteQuarantine))
	})
	tasks.Go(func() {
		process.logFailure("readiness", serveReady(servingCtx, config.ReadyAddress, platform.Dialect().ReadyPath, server.Ready))
	})
	tasks.Go(func() {
		process.watchReload(servingCtx, func() (settings.Member, error) {
			reloaded, err := settings.LoadGateway(flags.settingsFile, flags.overrides)
			return reloaded.Member, err
		})
	})
	tasks.Go(func() {
		node := replicaset.Node{Name: config.Node, Role: replicaset.RoleGateway, Address: config.Advertised(), Zone: config.Zone}
		feedNode.AwaitMembers(servingCtx)
		replicaset.Register(servingCtx, store, node, feedNode.Member, func(err error) { process.storeCallFailed("register", err) })
	})
	err := server.Serve(ctx, config.CallerAddress, config.Grace-stopReserve)
	stopServing()
	process.log.Info().Str("event", "stop").Str("role", "gateway").AnErr("error", err).Msg("")
	return err
}

// logFailure logs that a component, which should run until shutdown, ended with an error.
func (p *process) logFailure(component string, err error) {
	if err != nil {
		p.log.Error().Str("event", "part_failed").Str("part", component).Err(err).Msg("")
	}
}
