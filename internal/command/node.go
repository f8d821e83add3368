package command

import (
	"io"
	"os/signal"
	"syscall"

	"github.com/phuslu/log"
	"github.com/spf13/cobra"

	"swiftbank.dev/swiftbank/internal/server"
	"swiftbank.dev/swiftbank/internal/settings"
)

func newNodeCommand() *cobra.Command {
	var settingsFile string
	var overrides []string
	command := &cobra.Command{
		Use:     "node",
		Short:   "Run a node until SIGTERM, then drain and exit",
		Example: "  swiftbank node --settings examples/riga/node-1.yaml --set logLevel=debug",
		Args:    cobra.NoArgs,
	}
	command.Flags().StringVar(&settingsFile, "settings", "", "settings file of the node (required)")
	command.Flags().StringArrayVar(&overrides, "set", nil, "key=value that overrides the settings file; may be repeated")
	_ = command.MarkFlagRequired("settings")
	command.RunE = func(command *cobra.Command, _ []string) error {
		config, err := settings.Load(settingsFile, overrides)
		if err != nil {
			return exitWith(ExitUsage, err)
		}
		node, err := server.New(config, newLogger(command.ErrOrStderr(), config.LogLevel))
		if err != nil {
			return exitWith(ExitFailure, err)
		}
		ctx, stop := signal.NotifyContext(command.Context(), syscall.SIGTERM, syscall.SIGINT)
		defer stop()
		if err := node.Run(ctx); err != nil {
			return exitWith(ExitFailure, err)
		}
		return nil
	}
	return command
}

// newLogger returns a logger that writes JSON lines.
func newLogger(out io.Writer, level string) *log.Logger {
	return &log.Logger{Level: log.ParseLevel(level), TimeField: "time", Writer: &log.IOWriter{Writer: out}}
}
