package replica

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"swiftbank.dev/swiftbank/internal/ledger"
	"swiftbank.dev/swiftbank/internal/quota"
)

// Metrics are a replica's Prometheus metrics.
type Metrics struct {
	Registry *prometheus.Registry
	requests *prometheus.CounterVec
	syncs    prometheus.Histogram
	batch    prometheus.Histogram
	epoch    prometheus.Gauge
	turns    prometheus.Gauge
	programs prometheus.Gauge
	bytes    prometheus.Gauge
	store    *prometheus.CounterVec

	feedAge, feedReading prometheus.Gauge

	allowances   *prometheus.CounterVec
	loansRefused prometheus.Counter
	programsHeld prometheus.Counter
	reservations *prometheus.GaugeVec
}

// NewMetrics registers a replica's metrics.
func NewMetrics(node string) *Metrics {
	labels := prometheus.Labels{"node": node}
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{Name: name, Help: help, ConstLabels: labels})
	}
	m := &Metrics{
		Registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "swiftbank_replica_requests_total", Help: "Requests by kind.", ConstLabels: labels,
		}, []string{"kind"}),
		syncs: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "swiftbank_replica_sync_seconds", Help: "Time of one write and sync.", ConstLabels: labels,
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 14),
		}),
		batch: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "swiftbank_replica_sync_records", Help: "Records made durable by one sync.", ConstLabels: labels,
			Buckets: prometheus.ExponentialBuckets(1, 2, 12),
		}),
		epoch:    gauge("swiftbank_replica_epoch", "Epoch of the adopted replica set."),
		turns:    gauge("swiftbank_replica_turns", "Turns kept."),
		programs: gauge("swiftbank_replica_programs", "Programs with charges."),
		bytes:    gauge("swiftbank_replica_turn_bytes", "Bytes of input and output kept."),
	}
	m.store = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "swiftbank_store_calls_total", Help: "Calls to the shared store by method and status.", ConstLabels: labels,
	}, []string{"method", "status"})
	m.feedAge = gauge("swiftbank_feed_age_seconds", "Age of what is known of the shared store.")
	m.feedReading = gauge("swiftbank_feed_reading", "1 while this process reads the shared store itself.")
	m.allowances = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "swiftbank_replica_allowances_total", Help: "Allowances of tenants' limits lent, by what for.", ConstLabels: labels,
	}, []string{"for"})
	m.loansRefused = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "swiftbank_replica_loans_refused_total", Help: "Requests for an allowance of a tenant that had none left here.", ConstLabels: labels,
	})
	m.programsHeld = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "swiftbank_replica_programs_held_total", Help: "Requests of new programs refused as home lender, for credit that is set aside for begun ones.", ConstLabels: labels,
	})
	m.reservations = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "swiftbank_replica_limit_set_aside", Help: "Requests that begun programs are likely to make still, of the tenants with most of them.", ConstLabels: labels,
	}, []string{"tenant"})
	m.Registry.MustRegister(m.allowances, m.loansRefused, m.programsHeld, m.reservations)
	m.Registry.MustRegister(m.feedAge, m.feedReading, m.store, m.requests, m.syncs, m.batch, m.epoch, m.turns, m.programs, m.bytes)
	return m
}

// FeedAge sets the age of the view of the shared store, and whether this process reads the
// store itself.
func (m *Metrics) FeedAge(seconds float64, reading bool) {
	m.feedAge.Set(seconds)
	m.feedReading.Set(0)
	if reading {
		m.feedReading.Set(1)
	}
}

// StoreCall counts a call to the shared store; status 0 is a call without a response.
func (m *Metrics) StoreCall(method string, status int) {
	m.store.WithLabelValues(method, strconv.Itoa(status)).Inc()
}

func (m *Metrics) observeSync(duration time.Duration, records int) {
	m.syncs.Observe(duration.Seconds())
	m.batch.Observe(float64(records))
}

// maxReservationSeries bounds the series of reservations, one per tenant.
const maxReservationSeries = 8

// observeReservations exports the largest reservations by tenant.
func (m *Metrics) observeReservations(reservations map[string]float64) {
	names := slices.SortedFunc(maps.Keys(reservations), func(a, b string) int {
		return cmp.Or(cmp.Compare(reservations[b], reservations[a]), cmp.Compare(a, b))
	})
	m.reservations.Reset()
	for _, name := range names[:min(len(names), maxReservationSeries)] {
		m.reservations.WithLabelValues(name).Set(reservations[name])
	}
}

func (m *Metrics) observeState(state *ledger.State) {
	turns, programs, bytes := state.Size()
	m.epoch.Set(float64(state.Set().Epoch))
	m.turns.Set(float64(turns))
	m.programs.Set(float64(programs))
	m.bytes.Set(float64(bytes))
}

func (m *Metrics) count(request ledger.Request) {
	switch {
	case request.Reserve != nil:
		m.requests.WithLabelValues("reserve").Inc()
	case request.Commit != nil:
		m.requests.WithLabelValues("commit").Inc()
	case request.Adopt != nil:
		m.requests.WithLabelValues("adopt").Inc()
	case request.Inventory != nil:
		m.requests.WithLabelValues("inventory").Inc()
	case request.Fetch != nil:
		m.requests.WithLabelValues("fetch").Inc()
	case request.Borrow != nil:
		m.requests.WithLabelValues("borrow").Inc()
	}
}

// observeLoan counts the allowances of a loan, or its refusal.
func (m *Metrics) observeLoan(loan quota.Loan) {
	m.allowances.WithLabelValues("waiting").Add(float64(loan.Waiting))
	m.allowances.WithLabelValues("ahead").Add(float64(loan.Ahead))
	switch {
	case loan.Held:
		m.programsHeld.Inc()
	case loan.Wait > 0:
		m.loansRefused.Inc()
	}
}
