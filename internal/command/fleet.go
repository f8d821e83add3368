package command

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/spf13/cobra"

	"swiftbank.dev/swiftbank/internal/eventlog"
	"swiftbank.dev/swiftbank/internal/hangup"
	"swiftbank.dev/swiftbank/internal/settings"
	"swiftbank.dev/swiftbank/platform"
)

const (
	// settingsVariable names the settings file where no flag does.
	settingsVariable = "SWIFTBANK_CONFIG"
	// memoryShare is the part of the machine's memory at which the collector works
	// harder, in percent.
	memoryShare = 55
	// collectorPercent lets the heap grow between collections: the heaps are small,
	// and processor time is dear.
	collectorPercent = 50
	// logFlushTimeout is how long the end of a process waits for its log to be read.
	logFlushTimeout = 200 * time.Millisecond
)

// fleetFlags are the flags of gateway and replica.
type fleetFlags struct {
	settingsFile string
	overrides    []string
}

func (f *fleetFlags) add(command *cobra.Command) {
	command.Flags().StringVar(&f.settingsFile, "settings", os.Getenv(settingsVariable),
		"settings file (default: the file named by "+settingsVariable+")")
	command.Flags().StringArrayVar(&f.overrides, "set", nil, "key=value that goes over the settings file; may be repeated")
}

// process is what every long-running command has.
type process struct {
	log    *log.Logger
	writer *eventlog.Writer
}

func newProcess(member settings.Member) *process {
	debug.SetMemoryLimit(int64(member.MemoryMB) << 20 * memoryShare / 100)
	debug.SetGCPercent(collectorPercent)
	writer := eventlog.NewWriter(os.Stdout)
	logger := eventlog.New(writer, member.Node)
	logger.Level = log.ParseLevel(member.LogLevel)
	return &process{log: logger, writer: writer}
}

// close writes the rest of the log.
func (p *process) close() { p.writer.Close(logFlushTimeout) }

// watchReload logs each SIGHUP after reading the settings again; what may change
// in a running process is the level of the log.
func (p *process) watchReload(ctx context.Context, reload func() (settings.Member, error)) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup.Signals():
			member, err := reload()
			if err != nil {
				p.log.Error().Str("event", "reload_failed").Err(err).Msg("")
				continue
			}
			p.log.Info().Str("event", "reload").Str("log_level", member.LogLevel).Str("store", member.StoreAddress).Msg("")
		}
	}
}

// contact logs a dependency that was lost or is reached again.
func (p *process) contact(source string, err error) {
	if err != nil {
		p.log.Warn().Str("event", "dependency_lost").Str("dependency", source).Err(err).Msg("")
		return
	}
	p.log.Info().Str("event", "dependency_regained").Str("dependency", source).Msg("")
}

// storeCallFailed logs a call to the shared store that failed, or a wrong document.
func (p *process) storeCallFailed(kind string, err error) {
	if errors.Is(err, platform.ErrUnreadable) {
		p.log.Warn().Str("event", "object_unreadable").Str("kind", kind).Err(err).Msg("")
		return
	}
	p.log.Warn().Str("event", "store_call_failed").Str("kind", kind).Err(err).Msg("")
}

// serveMetrics serves the metrics until the context ends.
func serveMetrics(ctx context.Context, address string, registry *prometheus.Registry) error {
	router := httprouter.New()
	router.Handler(http.MethodGet, "/metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	return serveUntil(ctx, address, router)
}

// serveReady answers readiness questions until the context ends.
func serveReady(ctx context.Context, address, path string, ready func() bool) error {
	router := httprouter.New()
	router.GET(path, func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		if !ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return serveUntil(ctx, address, router)
}

func serveUntil(ctx context.Context, address string, handler http.Handler) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return err
	}
	const headerLimit = 5 * time.Second
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerLimit}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	_ = server.Serve(listener)
	return nil
}
