package gateway

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"swiftbank.dev/swiftbank/internal/quorum"
)

// Metrics are a gateway's metrics in the Prometheus format.
type Metrics struct {
	Registry    *prometheus.Registry
	labels      prometheus.Labels
	requests    *prometheus.CounterVec
	latency     *prometheus.HistogramVec
	reserve     prometheus.Histogram
	commit      prometheus.Histogram
	connections prometheus.Counter
	sends       *prometheus.CounterVec
	evacuated   prometheus.Gauge
	relayed     prometheus.Counter
	store       *prometheus.CounterVec
	feedAge     prometheus.Gauge
	// cold is the number of cold instances; coldSends counts requests to them, coldWithheld
	// placements that found no other instance and no free place on a cold one.
	cold         prometheus.Gauge
	coldSends    prometheus.Counter
	coldWithheld prometheus.Counter
	feedReading  prometheus.Gauge
	budgets      *prometheus.CounterVec
	// speeds is the range of instances' estimated speeds by service; speedChanges counts changes of
	// their class, overdue the requests that sent nothing for longer than expected.
	speeds       *prometheus.GaugeVec
	speedChanges prometheus.Counter
	overdue      prometheus.Counter
	// memoryBound counts requests that a bound on the memory for callers refused or ended.
	memoryBound *prometheus.CounterVec
	// uncachedTokens counts the prompt tokens that instances were estimated not to have cached.
	uncachedTokens prometheus.Counter
	// lostRuns counts runs whose instance ended or fell silent, contained requests that were not sent for
	// that reason, and released those that count as harmless again.
	lostRuns, contained, released *prometheus.CounterVec
	// unrecordedLosses counts lost runs that were not recorded, because there were too many.
	unrecordedLosses prometheus.Counter
	// knowledgeAge is the age of what the replicas tell of ends at other gateways.
	knowledgeAge prometheus.Gauge
	// resendConnections counts connections opened for refused requests, resendsWithheld requests that had to wait for
	// one, unsolicitedAnswers answers that belong to no request.
	resendConnections, resendsWithheld, unsolicitedAnswers prometheus.Counter
	// turnedAway counts connections that instances reset beyond the number that they accept.
	turnedAway prometheus.Counter
	// limitRefusals counts requests refused by their tenant's limit.
	limitRefusals *prometheus.CounterVec
}

// NewMetrics registers a gateway's metrics.
func NewMetrics(node string) *Metrics {
	labels := prometheus.Labels{"node": node}
	histogram := func(name, help string) prometheus.HistogramOpts {
		return prometheus.HistogramOpts{
			Name: name, Help: help, ConstLabels: labels, Buckets: prometheus.ExponentialBuckets(0.001, 2, 14),
		}
	}
	m := &Metrics{
		Registry: prometheus.NewRegistry(), labels: labels,
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "swiftbank_requests_total", Help: "Requests by status and result.", ConstLabels: labels,
		}, []string{"status", "result"}),
		latency: prometheus.NewHistogramVec(histogram("swiftbank_request_seconds", "Time from a request's header to the end of its answer."), []string{"result"}),
		reserve: prometheus.NewHistogram(histogram("swiftbank_reserve_seconds", "Time to reserve tokens and read a history.")),
		commit:  prometheus.NewHistogram(histogram("swiftbank_commit_seconds", "Time to make a finished turn durable.")),
		connections: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "swiftbank_backend_connections_total", Help: "Connections opened to instances.", ConstLabels: labels,
		}),
		sends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "swiftbank_backend_sends_total", Help: "Requests sent to instances by their zone.", ConstLabels: labels,
		}, []string{"zone"}),
		relayed: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "swiftbank_relayed_requests_total", Help: "Requests to replicas sent by other gateways.", ConstLabels: labels,
		}),
		store: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "swiftbank_store_calls_total", Help: "Calls to the shared store by method and status.", ConstLabels: labels,
		}, []string{"method", "status"}),
	}
	m.feedAge = prometheus.NewGauge(prometheus.GaugeOpts{Name: "swiftbank_feed_age_seconds", Help: "Age of what is known of the shared store.", ConstLabels: labels})
	m.feedReading = prometheus.NewGauge(prometheus.GaugeOpts{Name: "swiftbank_feed_reading", Help: "1 while this process reads the shared store itself.", ConstLabels: labels})
	m.budgets = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "swiftbank_budget_decisions_total", Help: "Turns checked against their program's budget, by the regions asked and the outcome.", ConstLabels: labels,
	}, []string{"asked", "grant"})
	m.memoryBound = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "swiftbank_memory_bound_total", Help: "Requests refused or ended for lack of memory for callers, by the bound.", ConstLabels: labels,
	}, []string{"bound"})
	m.uncachedTokens = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "swiftbank_missing_prompt_tokens_total", Help: "Prompt tokens that instances were believed to have to read.", ConstLabels: labels,
	})
	m.Registry.MustRegister(m.budgets, m.memoryBound, m.uncachedTokens)
	// Both series must exist from the start for a rate to be computed.
	m.budgets.WithLabelValues(askedOwnRegion, quorum.Granted.String())
	m.budgets.WithLabelValues(askedEveryRegion, quorum.Granted.String())
	m.evacuated = prometheus.NewGauge(prometheus.GaugeOpts{Name: "swiftbank_evacuated_zones", Help: "Zones whose instances get nothing further.", ConstLabels: labels})
	m.Registry.MustRegister(m.evacuated, m.feedAge, m.feedReading, m.requests, m.latency, m.reserve, m.commit, m.connections, m.sends, m.relayed, m.store)
	m.registerCold(labels)
	m.registerResends(labels)
	m.registerContainment(labels)
	m.registerSpeeds(labels)
	m.registerLimits(labels)
	return m
}

// countSend counts a request sent to an instance of the zone.
func (m *Metrics) countSend(zone string) { m.sends.WithLabelValues(zone).Inc() }

// registerEvacuated registers the gauge of requests still running in evacuated zones.
func (m *Metrics) registerEvacuated(running func() int) {
	m.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "swiftbank_evacuated_requests", Help: "Requests of this gateway that still run in evacuated zones.", ConstLabels: m.labels,
	}, func() float64 { return float64(running()) }))
}

// registerHeld registers the gauge of bytes held for callers.
func (m *Metrics) registerHeld(held func() float64) {
	m.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "swiftbank_held_bytes", Help: "Bytes held for callers, where they are bounded.", ConstLabels: m.labels,
	}, held))
}

// FeedAge records the age of the known state of the shared store, and whether this process
// reads the store itself.
func (m *Metrics) FeedAge(seconds float64, reading bool) {
	m.feedAge.Set(seconds)
	m.feedReading.Set(0)
	if reading {
		m.feedReading.Set(1)
	}
}

// StoreCall counts a call to the shared store; status 0 is a call without an answer.
func (m *Metrics) StoreCall(method string, status int) {
	m.store.WithLabelValues(method, strconv.Itoa(status)).Inc()
}

// Relayed counts a request to a replica that this gateway sent through another gateway.
func (m *Metrics) Relayed() { m.relayed.Inc() }

// Label values for the regions asked for a decision on a turn's budget.
const (
	askedOwnRegion   = "own_region"
	askedEveryRegion = "every_region"
)

// countBudgetDecision counts a decision on a turn's budget.
func (m *Metrics) countBudgetDecision(grant quorum.EscrowDecision, allRegions bool) {
	label := askedOwnRegion
	if allRegions {
		label = askedEveryRegion
	}
	m.budgets.WithLabelValues(label, grant.String()).Inc()
}

// observeRequest counts a finished request and its latency.
func (m *Metrics) observeRequest(o *outcome, took time.Duration) {
	m.requests.WithLabelValues(strconv.Itoa(o.status), o.result).Inc()
	m.latency.WithLabelValues(o.result).Observe(took.Seconds())
}
