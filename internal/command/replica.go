package command

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/sourcegraph/conc"
	"github.com/spf13/cobra"

	"swiftbank.dev/swiftbank/internal/bootstrap"
	"swiftbank.dev/swiftbank/internal/registry"
	"swiftbank.dev/swiftbank/internal/replica"
	"swiftbank.dev/swiftbank/internal/settings"
	"swiftbank.dev/swiftbank/platform"
)

func newReplicaCommand() *cobra.Command {
	var flags fleetFlags
	command := &cobra.Command{
		Use:     "replica",
		Short:   "Run a replica of turns and charges on a machine with a disk until SIGTERM",
		Example: "  swiftbank replica --settings replica.yaml",
		Args:    cobra.NoArgs,
	}
	flags.add(command)
	command.RunE = func(command *cobra.Command, _ []string) error {
		hangups := catchHangups()
		config, err := settings.LoadReplica(flags.settingsFile, flags.overrides)
		if err != nil {
			return exitWith(ExitUsage, err)
		}
		ctx, stop := signal.NotifyContext(command.Context(), syscall.SIGTERM, syscall.SIGINT)
		defer stop()
		if err := runReplica(ctx, config, flags, hangups); err != nil {
			return exitWith(ExitFailure, err)
		}
		return nil
	}
	return command
}

// runReplica runs until ctx ends. Nothing acknowledged waits for a planned stop.
func runReplica(ctx context.Context, config settings.Replica, flags fleetFlags, hangups chan os.Signal) error {
	process := newProcess(config.Member, hangups)
	defer process.close()
	metrics := replica.NewMetrics(config.Node)
	store := platform.NewStore(config.StoreAddress, metrics.StoreCall)
	server, err := replica.New(replica.Options{
		Node: config.Node, Zone: config.Zone, Address: config.PeerAddress, Advertised: config.Advertised(), DataFolder: config.DataFolder,
		DiskMB: config.DiskMB, Tolerate: config.TolerateMachines, Registry: store, Log: process.log, Metrics: metrics,
	})
	if err != nil {
		process.log.Error().Str("event", "start_failed").Err(err).Msg("")
		return err
	}
	copied := bootstrap.NewKeeper(config.DataFolder, process.log)
	sources := &platform.Sources{
		Store: store, Node: config.Node, Failed: process.storeCallFailed,
		Contact: func(err error) { process.contact("store", err) },
		Registry: func(objects []registry.Object) {
			copied.MembersChanged(objects)
			server.RegistryChanged(objects)
		},
		Emptied: server.Leave,
	}
	var running conc.WaitGroup
	if config.CopyAddress != "" {
		sources.Unhurried = true
		sources.Configuration, sources.BackEnds = copied.ConfigurationChanged, copied.BackEndsChanged
		running.Go(func() { process.failing("store copy", copied.Serve(ctx, config.CopyAddress)) })
	}
	running.Go(func() { sources.Run(ctx) })
	running.Go(func() { process.failing("metrics", serveMetrics(ctx, config.MetricsAddress, metrics.Registry)) })
	running.Go(func() {
		process.watchReload(ctx, func() (settings.Member, error) {
			fresh, err := settings.LoadReplica(flags.settingsFile, flags.overrides)
			return fresh.Member, err
		})
	})
	err = server.Run(ctx)
	return err
}
