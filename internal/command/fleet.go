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
	// settingsVariable is the environment variable with the settings file, used if --settings
	// is not given.
	settingsVariable = "SWIFTBANK_CONFIG"
	// memoryLimitPercent is the soft memory limit of the Go runtime as a percentage of the
	// machine's memory. The garbage collector runs more often above it.
	memoryLimitPercent = 55
	// gcPercent is the GOGC value: how much, in percent, the heap may grow between
	// collections. The heaps are small, and processor time is scarce.
	gcPercent = 50
	// logFlushTimeout bounds the wait for the output to accept the remaining log lines on exit.
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
	command.Flags().StringArrayVar(&f.overrides, "set", nil, "key=value that overrides the settings file; may be repeated")
}

// process holds the log of a long-running command.
type process struct {
	log    *log.Logger
	writer *eventlog.Writer
	// unreadable counts the objects of the shared store that could not be decoded.
	unreadable *prometheus.CounterVec
}

func newProcess(member settings.Member) *process {
	debug.SetMemoryLimit(int64(member.MemoryMB) << 20 * memoryLimitPercent / 100)
	debug.SetGCPercent(gcPercent)
	writer := eventlog.NewWriter(os.Stdout)
	logger := eventlog.New(writer, member.Node)
	logger.Level = log.ParseLevel(member.LogLevel)
	unreadable := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "swiftbank_unreadable_objects_total", Help: "Objects of the shared store that could not be decoded, by kind.",
		ConstLabels: prometheus.Labels{"node": member.Node},
	}, []string{"kind"})
	return &process{log: logger, writer: writer, unreadable: unreadable}
}

// close flushes the log, for at most logFlushTimeout.
func (p *process) close() { p.writer.Close(logFlushTimeout) }

// watchReload reloads the settings on each SIGHUP and logs the outcome, until ctx ends. Only the
// log level may change in a running process.
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

// logDependency logs that a dependency was lost (err is not nil) or regained.
func (p *process) logDependency(source string, err error) {
	if err != nil {
		p.log.Warn().Str("event", "dependency_lost").Str("dependency", source).Err(err).Msg("")
		return
	}
	p.log.Info().Str("event", "dependency_regained").Str("dependency", source).Msg("")
}

// maxLoggedError bounds the text of an error that may quote what another writer stored, in bytes.
const maxLoggedError = 512

// storeCallFailed logs a failed call to the shared store, or a malformed object in it.
func (p *process) storeCallFailed(kind string, err error) {
	if errors.Is(err, platform.ErrUnreadable) {
		p.unreadable.WithLabelValues(kind).Inc()
		text := err.Error()
		p.log.Warn().Str("event", "object_unreadable").Str("kind", kind).Str("error", text[:min(maxLoggedError, len(text))]).Msg("")
		return
	}
	p.log.Warn().Str("event", "store_call_failed").Str("kind", kind).Err(err).Msg("")
}

// serveMetrics serves the metrics, and what addRoutes adds for operators, until the context ends.
func serveMetrics(ctx context.Context, address string, registry *prometheus.Registry, addRoutes func(*httprouter.Router)) error {
	router := httprouter.New()
	addRoutes(router)
	router.Handler(http.MethodGet, "/metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	return serveUntil(ctx, address, router)
}

// serveReady serves readiness probes at path until the context ends.
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
