package gateway

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"swiftbank.dev/swiftbank/internal/fairshare"
	"swiftbank.dev/swiftbank/internal/tally"
	"swiftbank.dev/swiftbank/internal/tenant"
)

// excessThreshold is the excess from which a tenant is ranked behind others. A smaller excess may
// come from the age of other gateways' reports alone.
const excessThreshold = 0.5

// tenantShares tracks the recent service of each tenant. It is safe for concurrent use.
type tenantShares struct {
	excess prometheus.Histogram

	mu     sync.Mutex
	shares *fairshare.Shares
}

func newTenantShares(metrics *Metrics) *tenantShares {
	excess := prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "swiftbank_tenant_excess", ConstLabels: metrics.labels, Buckets: []float64{0, excessThreshold, 1, 2, 4, 8},
		Help: "How far above its fair share a new program's tenant was, 0 within it, at each decision.",
	})
	metrics.Registry.MustRegister(excess)
	return &tenantShares{excess: excess, shares: fairshare.New()}
}

// setWeights weighs tenants by the rates of their limits, which are the shares of the service
// that the operator has granted.
func (t *tenantShares) setWeights(tenants *tenant.Index) {
	weights := map[string]float64{}
	for _, configured := range tenants.Tenants() {
		if configured.Limit.Limited() {
			weights[configured.Name] = configured.Limit.PerSecond
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.shares.SetWeights(weights)
}

// sharesFairly reports whether tenants share the request's service fairly while capacity is short.
func (s *Server) sharesFairly(r *request) bool {
	return s.options.FairShares && r.tenant != nil && s.usesAdmissionControl(r)
}

// recordTenantService counts the slot time of a request that was answered completely.
func (s *Server) recordTenantService(now time.Time, r *request, took time.Duration) {
	if !s.sharesFairly(r) {
		return
	}
	s.shares.mu.Lock()
	defer s.shares.mu.Unlock()
	s.shares.shares.RecordUsage(now, r.tenant.Name, took)
}

// tenantExcess returns how far above its fair share the tenant of a new program is: 0 within
// its share or below excessThreshold. It is always 0 for programs that have begun, which are not
// ranked behind others.
func (s *Server) tenantExcess(r *request) float64 {
	if !r.firstOfProgram || !s.sharesFairly(r) {
		return 0
	}
	s.shares.mu.Lock()
	excess := s.shares.shares.Excess(time.Now(), r.tenant.Name)
	s.shares.mu.Unlock()
	s.shares.excess.Observe(excess)
	r.outcome.tenantExcess = excess
	if excess < excessThreshold {
		return 0
	}
	return excess
}

// excessRank returns the number of ranks by which a tenant above its share is put behind others.
func excessRank(excess float64) int {
	if excess > 0 {
		return 1
	}
	return 0
}

// ShareSection returns the section of the load reports for the service of tenants.
func (s *Server) ShareSection() reportSection { return &shareSection{shares: s.shares} }

// shareSection reports the service that tenants received.
type shareSection struct {
	shares   *tenantShares
	versions newestVersions
}

func (p *shareSection) name() string { return "shares" }

func (p *shareSection) ownFigures(now time.Time) []byte {
	p.shares.mu.Lock()
	defer p.shares.mu.Unlock()
	return encodeFigures(p.shares.shares.LocalReport(now))
}

func (p *shareSection) zoneFigures(now time.Time) []byte {
	p.shares.mu.Lock()
	defer p.shares.mu.Unlock()
	return encodeFigures(p.shares.shares.ZoneReport(now))
}

func (p *shareSection) apply(now time.Time, source tally.Source, version tally.Version, encoded []byte) {
	if !p.versions.isNewer(source, version) {
		return
	}
	figures, readable := decodeFigures[fairshare.Key](encoded)
	if !readable {
		return
	}
	p.shares.mu.Lock()
	defer p.shares.mu.Unlock()
	p.shares.shares.ReplaceReport(now, source, figures)
}
