// Package memorybudget accounts for the bytes that a process holds on behalf of its callers, and
// limits them in total, per tenant and per request. It does no I/O: the caller reports what it
// holds, and acts on the result.
//
// It protects against callers that read slowly or not at all, and against tenants that send more
// and larger requests than usual. Without limits the process would run out of memory and fail all
// its callers.
package memorybudget

// Bound identifies the limit that a reservation would exceed.
type Bound uint8

const (
	// WithinLimits means that no limit is exceeded.
	WithinLimits Bound = iota
	// TotalBound is the limit of all requests together.
	TotalBound
	// TenantBound is the limit of the requests of one tenant.
	TenantBound
	// RequestBound is the limit of one request.
	RequestBound
)

// String returns the name of the bound in logs and metrics.
func (b Bound) String() string {
	return [...]string{"within", "all", "tenant", "request"}[b]
}

// Limits are the limits in bytes.
type Limits struct {
	// Total applies to all requests, Admission to new ones: new requests are refused above
	// Admission, so that open ones have room to grow.
	Total, Admission int64
	// Tenant and Request are the limits of one tenant and of one request.
	Tenant, Request int64
}

// LimitsOf derives limits from a total: half of it for one tenant, which leaves the rest to all
// others, and an eighth for one request, so that several large ones fit. A quarter is kept for the
// growth of open requests.
func LimitsOf(total int64) Limits {
	return Limits{Total: total, Admission: total - total/4, Tenant: total / 2, Request: total / 8}
}

// Budget accounts for the bytes held. It is not safe for concurrent use.
type Budget struct {
	limits   Limits
	total    int64
	byTenant map[string]int64
}

// New returns an empty budget.
func New(limits Limits) *Budget {
	return &Budget{limits: limits, byTenant: map[string]int64{}}
}

// Held returns the total number of bytes held.
func (b *Budget) Held() int64 { return b.total }

// Reservation is the part of the budget that one request holds.
type Reservation struct {
	budget *Budget
	tenant string
	bytes  int64
}

// Reserve admits a new request of a tenant that holds the given number of bytes; tenant is "" if
// there are no tenants. If the request does not fit it returns nil and the bound.
func (b *Budget) Reserve(tenant string, bytes int64) (*Reservation, Bound) {
	if b.total+bytes > b.limits.Admission {
		return nil, TotalBound
	}
	reservation := &Reservation{budget: b, tenant: tenant}
	if bound := reservation.Grow(bytes); bound != WithinLimits {
		return nil, bound
	}
	return reservation, WithinLimits
}

// Grow adds bytes to the reservation of an open request. If they do not fit it adds none of them
// and returns the bound.
func (r *Reservation) Grow(bytes int64) Bound {
	b := r.budget
	switch {
	case r.bytes+bytes > b.limits.Request:
		return RequestBound
	case r.tenant != "" && b.byTenant[r.tenant]+bytes > b.limits.Tenant:
		return TenantBound
	case b.total+bytes > b.limits.Total:
		return TotalBound
	}
	r.add(bytes)
	return WithinLimits
}

// Release returns the bytes of the request to the budget. Further calls have no effect.
func (r *Reservation) Release() { r.add(-r.bytes) }

func (r *Reservation) add(bytes int64) {
	r.bytes += bytes
	r.budget.total += bytes
	if r.tenant == "" {
		return
	}
	r.budget.byTenant[r.tenant] += bytes
	if r.budget.byTenant[r.tenant] == 0 {
		delete(r.budget.byTenant, r.tenant)
	}
}
