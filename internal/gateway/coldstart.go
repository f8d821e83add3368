package gateway

import (
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"swiftbank.dev/swiftbank/internal/backend"
	"swiftbank.dev/swiftbank/internal/coldstart"
	"swiftbank.dev/swiftbank/internal/replicaset"
	"swiftbank.dev/swiftbank/internal/route"
	"swiftbank.dev/swiftbank/internal/verdict"
)

// coldWaitDivisor bounds the wait for a slot at a cold instance to a quarter of the route's
// objective: after a longer wait the answer would probably be late, and the caller does better
// to retry when a slot is free, or at another gateway.
const coldWaitDivisor = 4

// coldServices returns the cold start limits of the configuration by service.
func coldServices(table *route.Table) map[string]coldstart.ServiceConfig {
	services := map[string]coldstart.ServiceConfig{}
	for name, service := range table.Services {
		if service.ColdPerSecond > 0 {
			services[name] = coldstart.ServiceConfig{Limit: coldstart.Limit{PerSecond: service.ColdPerSecond}, ColdPeriod: service.ColdStart}
		}
	}
	return services
}

// coldGateways returns the gateways that share the slots of cold instances.
func coldGateways(nodes map[string]replicaset.Node) []coldstart.Gateway {
	gateways := make([]coldstart.Gateway, 0, len(nodes))
	for name, node := range nodes {
		gateways = append(gateways, coldstart.Gateway{Name: name, Zone: node.Zone})
	}
	return gateways
}

// refuseWhileCold returns the failure of a request for which no instance was found, or nil if
// the request may wait. Where only cold instances serve, the request is refused at once unless
// this gateway has a free slot soon. A request that was sent before keeps waiting: it may be a
// stream that has begun.
func (s *Server) refuseWhileCold(r *request, service string) *backend.Failure {
	wait, hasShare, onlyCold := s.directory.AllCold(time.Now(), service)
	switch {
	case !onlyCold || r.outcome.sends > 0:
		return nil
	case !hasShare:
		wait = otherGatewayRetry
	case time.Since(r.arrived)+wait <= r.route.Objective/coldWaitDivisor:
		return nil
	}
	s.log.Info().Str("event", "cold_withheld").Str("id", r.id).Str("service", service).Bool("shared", hasShare).
		Dur("wait", wait).Int64("list_age_ms", s.instanceListAge().Milliseconds()).Msg("")
	return &backend.Failure{Verdict: verdict.NotRun, RetryAfter: wait, Reason: "all instances are cold and have no slot for this gateway"}
}

// coldObserver logs and counts what the directory reports on cold instances.
type coldObserver struct {
	log     *log.Logger
	metrics *Metrics
}

// ColdChanged implements backend.ColdObserver.
func (c coldObserver) ColdChanged(change coldstart.Change) {
	c.log.Info().Str("event", "cold_changed").Str("instance", change.Instance).Str("service", change.Service).
		Bool("cold", change.Cold).Dur("remaining", change.Remaining).Int("places", change.Share).Msg("")
}

// ColdCount implements backend.ColdObserver.
func (c coldObserver) ColdCount(cold int) { c.metrics.cold.Set(float64(cold)) }

// ColdSent implements backend.ColdObserver.
func (c coldObserver) ColdSent() { c.metrics.coldSends.Inc() }

// ColdWithheld implements backend.ColdObserver.
func (c coldObserver) ColdWithheld() { c.metrics.coldWithheld.Inc() }

// registerCold registers the metrics of cold instances.
func (m *Metrics) registerCold(labels prometheus.Labels) {
	m.cold = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "swiftbank_cold_instances", Help: "Instances that are cold and get a limited rate.", ConstLabels: labels,
	})
	m.coldSends = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "swiftbank_cold_sends_total", Help: "Requests sent to cold instances.", ConstLabels: labels,
	})
	m.coldWithheld = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "swiftbank_cold_withheld_total", Help: "Placements that found only cold instances without a free place.", ConstLabels: labels,
	})
	m.Registry.MustRegister(m.cold, m.coldSends, m.coldWithheld)
}
