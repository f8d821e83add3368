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

// stopReserve is kept of the grace of a planned stop for the end of the process.
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

// runGateway runs until ctx ends and the requests in progress have.
func runGateway(ctx context.Context, config settings.Gateway, flags fleetFlags) error {
	process := newProcess(config.Member)
	defer process.close()
	// The sources, the replicas and the readiness answer live until the last request ended.
	life, end := context.WithCancel(context.Background())
	defer end()
	metrics := gateway.NewMetrics(config.Node)
	directory := backend.NewDirectory(config.Zone)
	directory.SetSeed(config.Node)
	directory.UsePlaces(config.Places())
	replicas := quorum.NewCells(life, config.Node, config.Zone, config.Places(), process.log)
	relays := quorum.NewRelays(life, config.Node, config.Zone, config.Places(), process.log, metrics.Relayed)
	replicas.UseRelays(relays)
	sent := traffic.NewCounter(config.Node, config.Zone, config.Places(), metrics.Registry)
	replicas.CountTraffic(sent)
	server := gateway.New(gateway.Options{
		Node: config.Node, Zone: config.Zone, Dialect: platform.Dialect(), Directory: directory, Replicas: replicas,
		Log: process.log, Metrics: metrics, Copies: config.TolerateMachines + 1,
		Evacuations:      config.EvacuationLimit > 0,
		LoadControl:      platform.RequiresLoadControl(config.Guarantees),
		InstanceSpeeds:   config.InstanceSpeeds,
		ProgramAdmission: config.ProgramAdmission,
		ReportsAge:       config.ReportsAge,
		HeldBytes:        config.HeldBytes(),
		LimitSetAside:    config.LimitSetAside,
		FairShares:       config.FairShares,
		ColdStarts:       coldstart.Policy{Overage: config.ColdOverage, Slack: config.ColdSlack},
	})
	gossip := gateway.NewGossip(config.Node, config.Zone, config.Places(), directory, sent)
	gossip.AddSection(server.ProgramSection())
	if config.ProgramAdmission {
		gossip.EnableLearnedCache(process.log)
	}
	if config.InstanceSpeeds {
		gossip.AddSection(gateway.NewSpeedSection(directory, process.log, metrics))
	}
	if config.FairShares && platform.RequiresLoadControl(config.Guarantees) {
		gossip.AddSection(server.ShareSection())
	}
	store := platform.NewStore(config.StoreAddress, metrics.StoreCall, process.storeCallFailed)
	knowledge := feed.NewNode(feed.Options{
		Node: config.Node, Zone: config.Zone, Places: config.Places(), Role: replicaset.RoleGateway, Seeds: config.Seeds, FirstStart: config.FirstStart, Store: store,
		Metrics: metrics, Traffic: sent, Log: process.log, StoreCallFailed: process.storeCallFailed,
		Evacuations:       config.EvacuationLimit > 0,
		StoreStateChanged: func(err error) { process.contact("store", err) },
		Handlers: feed.Handlers{
			Status: server.FeedStatusChanged, Configuration: server.ConfigurationChanged, Instances: server.InstancesChanged,
			Evacuations: server.EvacuationsChanged,
			Members:     func(objects []registry.Object) { server.MembersChanged(objects, gossip, relays) },
		},
	})
	process.log.Info().Str("event", "start").Str("role", "gateway").Str("zone", config.Zone).
		Str("callers", config.CallerAddress).Str("store", config.StoreAddress).
		Bool("load_control", platform.RequiresLoadControl(config.Guarantees)).Msg("")
	var running conc.WaitGroup
	running.Go(func() { knowledge.Run(life) })
	running.Go(func() { process.failing("gossip", gossip.Run(life, config.PeerAddress)) })
	running.Go(func() { process.failing("relaying", replicas.ServeRelays(life, config.PeerAddress)) })
	running.Go(func() { process.failing("metrics", serveMetrics(life, config.MetricsAddress, metrics.Registry)) })
	running.Go(func() {
		process.failing("readiness", serveReady(life, config.ReadyAddress, platform.Dialect().ReadyPath, server.Ready))
	})
	running.Go(func() {
		process.watchReload(life, func() (settings.Member, error) {
			fresh, err := settings.LoadGateway(flags.settingsFile, flags.overrides)
			return fresh.Member, err
		})
	})
	running.Go(func() {
		node := replicaset.Node{Name: config.Node, Role: replicaset.RoleGateway, Address: config.Advertised(), Zone: config.Zone}
		knowledge.AwaitMembers(life)
		replicaset.Register(life, store, node, knowledge.Member, func(err error) { process.storeCallFailed("register", err) })
	})
	err := server.Serve(ctx, config.CallerAddress, config.Grace-stopReserve)
	end()
	process.log.Info().Str("event", "stop").Str("role", "gateway").AnErr("error", err).Msg("")
	return err
}

// failing logs the end of a part that should run on.
func (p *process) failing(part string, err error) {
	if err != nil {
		p.log.Error().Str("event", "part_failed").Str("part", part).Err(err).Msg("")
	}
}
