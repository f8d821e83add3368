// Package memorybudget counts the bytes that a process holds for its callers and bounds them:
// all together, those of one tenant and those of one request. It is pure: the caller says what
// it holds, and does what the bound asks for.
//
// The load that it answers: callers that read slowly or not at all, and tenants that send more
// and larger requests than usual. Without a bound the process ends, and all its callers pay.
package memorybudget

// Bound is a limit that was reached.
type Bound uint8

const (
	// WithinLimits says that no limit was reached.
	WithinLimits Bound = iota
	// TotalBound is the limit of all requests together.
	TotalBound
	// TenantBound is the limit of one tenant's requests.
	TenantBound
	// RequestBound is the limit of one request.
	RequestBound
)

// String returns the bound's name in logs and metrics.
func (b Bound) String() string {
	return [...]string{"within", "all", "tenant", "request"}[b]
}

// Limits are how many bytes may be held.
type Limits struct {
	// Total is for requests that have begun; Admission is up to where further ones begin, so that
	// those have room to grow.
	Total, Admission int64
	// Tenant and Request bound one tenant's requests and one request.
	Tenant, Request int64
}

// LimitsOf shares the given number of bytes: a tenant may hold half of them, which leaves the
// rest to all others, and a request an eighth, so that a handful of large ones fit. A quarter
// is left for the growth of what has begun.
func LimitsOf(all int64) Limits {
	return Limits{Total: all, Admission: all - all/4, Tenant: all / 2, Request: all / 8}
}

// Budget counts what is held. It is not safe for concurrent use.
type Budget struct {
	limits   Limits
	all      int64
	byTenant map[string]int64
}

// New returns a budget of which nothing is held.
func New(limits Limits) *Budget {
	return &Budget{limits: limits, byTenant: map[string]int64{}}
}

// Held returns how many bytes are held in all.
func (b *Budget) Held() int64 { return b.all }

// Reservation is what one request holds.
type Reservation struct {
	budget *Budget
	tenant string
	bytes  int64
}

// Reserve counts a new request of a tenant, "" where there are none, with what it holds at once.
// It returns nil and the bound where that does not fit.
func (b *Budget) Reserve(tenant string, bytes int64) (*Reservation, Bound) {
	if b.all+bytes > b.limits.Admission {
		return nil, TotalBound
	}
	begun := &Reservation{budget: b, tenant: tenant}
	if bound := begun.Grow(bytes); bound != WithinLimits {
		return nil, bound
	}
	return begun, WithinLimits
}

// Grow counts further bytes of a request that has begun. It counts none of them where they do
// not fit, and returns the bound.
func (h *Reservation) Grow(bytes int64) Bound {
	b := h.budget
	switch {
	case h.bytes+bytes > b.limits.Request:
		return RequestBound
	case h.tenant != "" && b.byTenant[h.tenant]+bytes > b.limits.Tenant:
		return TenantBound
	case b.all+bytes > b.limits.Total:
		return TotalBound
	}
	h.add(bytes)
	return WithinLimits
}

// Release counts the request's bytes no longer. A second call does nothing.
func (h *Reservation) Release() { h.add(-h.bytes) }

func (h *Reservation) add(bytes int64) {
	h.bytes += bytes
	h.budget.all += bytes
	if h.tenant == "" {
		return
	}
	h.budget.byTenant[h.tenant] += bytes
	if h.budget.byTenant[h.tenant] == 0 {
		delete(h.budget.byTenant, h.tenant)
	}
}
