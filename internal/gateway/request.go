package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"swiftbank.dev/swiftbank/internal/admission"
	"swiftbank.dev/swiftbank/internal/backend"
	"swiftbank.dev/swiftbank/internal/quarantine"
	"swiftbank.dev/swiftbank/internal/route"
	"swiftbank.dev/swiftbank/internal/tenant"
)

// request is one attempt of a caller on its way through the gateway.
type request struct {
	id       string
	arrived  time.Time
	deadline time.Time
	// programDeadline is when the request's program should end; zero for requests without a program.
	programDeadline time.Time
	route           *route.Route
	table           *route.Table
	service         route.Service
	// tenant is the tenant that sent the request; nil on public routes and where there are no tenants.
	tenant *tenant.Tenant
	// keyFingerprint identifies the caller's key in the log.
	keyFingerprint string
	host           string
	method         string
	target         string
	header         http.Header
	// input is the body as the caller sent it, body the one that instances get: it begins with the history.
	input, body []byte
	// key identifies the request over all attempts of its caller; it is computed when it is needed.
	key    quarantine.Key
	hasKey bool
	// recordedRun is the run that was recorded before it was sent; nil unless the request is a suspect.
	recordedRun *quarantine.Run
	// life is the life of the instance that the request was last sent to.
	life *backend.Life
	// programRuns are the runs of earlier attempts that the program's charges tell of.
	programRuns []quarantine.Run
	// unsettledTurns returns the other turns of the program that have not ended; nil if it has no reservation.
	unsettledTurns func() []string
	// recordWithProgram records a run under the request's program; nil if it has no reservation.
	recordWithProgram func(quarantine.Run)
	// examinations are the examinations of lost runs that are still in progress.
	examinations sync.WaitGroup
	// held is the request's memory for callers; nil where that is not bounded.
	held *holding
	// refusedBy holds the ids of the instances that refused the request; withheld are those that the last placement
	// passed over for lack of a connection.
	refusedBy map[string]bool
	withheld  []string
	// refusedRuns are the sends that instances refused and may yet end after.
	refusedRuns []refusedRun
	// waitedForConnection is set once the request had to wait because instances were withheld.
	waitedForConnection bool
	// lostAnswer is set once an instance may have run the request without a complete answer.
	lostAnswer bool
	// firstOfProgram is set on the first request of a program.
	firstOfProgram bool
	// polls is the number of polls that found no slot.
	polls int
	// admission is the last decision on the start of the request's program, for first requests.
	admission admission.Decision
	// retryAfter is the Retry-After of a request that is refused for lack of capacity.
	retryAfter time.Duration
	// outcome is filled in for the log line at the end.
	outcome outcome
}

// outcome holds the values that the log line of a request contains.
type outcome struct {
	status   int
	result   string
	reason   string
	instance string
	// instanceStarted is the start time of the instance in Unix milliseconds; 0 if it does not report it.
	instanceStarted uint64
	// instanceVersion is the instance's software version as known when the request was sent.
	instanceVersion string
	// streamVersion is the software version that began the stream, and versionSource where the gateway
	// learned it.
	streamVersion string
	versionSource string
	sends         int
	load          int
	cost          float64
	// expectedLoad is the load as estimated from reports of the age reportsAgeMS.
	expectedLoad float64
	reportsAgeMS int64
	// uncachedTokens is the number of prompt tokens that the instance was estimated not to have cached.
	uncachedTokens int
	candidates     int
	// lender was the last one asked for an allowance of the tenant; limitMS is how long the check
	// of the limit took.
	lender    string
	limitMS   float64
	reserveMS float64
	firstMS   float64
	commitMS  float64
	events    int
	// tenantExcess is how far the tenant of a new program was above its fair share.
	tenantExcess float64
	// otherCharges are the tokens charged for the program's other turns; epoch is the replica set's.
	otherCharges int64
	epoch        uint64
	// endsBehind is the number of instances that ended, or may have ended, under the request.
	endsBehind int
	// askedAllRegions is set when all regions were asked about the program's budget.
	askedAllRegions bool
}

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// forwardableHeaders returns the headers that are forwarded to the next hop.
func forwardableHeaders(header http.Header) http.Header {
	forwardable := make(http.Header, len(header))
	for name, values := range header {
		forwardable[name] = values
	}
	for value := range strings.SplitSeq(header.Get("Connection"), ",") {
		if name := strings.TrimSpace(value); name != "" {
			forwardable.Del(name)
		}
	}
	for _, name := range hopByHopHeaders {
		delete(forwardable, name)
	}
	return forwardable
}

// milliseconds parses a header in milliseconds; ok is false if it is absent or invalid.
func milliseconds(header http.Header, name string) (time.Duration, bool) {
	value, err := strconv.ParseFloat(strings.TrimSpace(header.Get(name)), 64)
	if err != nil || value < 0 {
		return 0, false
	}
	return time.Duration(value * float64(time.Millisecond)), true
}

// maxTokens returns the maximum number of tokens that the request may generate.
func maxTokens(header http.Header, name string) int64 {
	_, limit, _ := strings.Cut(header.Get(name), ",")
	value, _ := strconv.ParseInt(strings.TrimSpace(limit), 10, 64)
	return value
}

// promptParts parses comma-separated ID:TOKENS pairs and skips those without a number.
func promptParts(value string) []backend.PromptPart {
	if value == "" {
		return nil
	}
	var parts []backend.PromptPart
	for field := range strings.SplitSeq(value, ",") {
		id, tokens, _ := strings.Cut(strings.TrimSpace(field), ":")
		count, err := strconv.Atoi(tokens)
		if err == nil {
			parts = append(parts, backend.PromptPart{ID: id, Tokens: count})
		}
	}
	return parts
}

// The priorities sent to engines; 0 is the most urgent.
//
// defaultPriority is sent for all tenants and routes: an engine preempts running requests for
// more urgent ones and processes their prompts again from the start, which costs more than the
// order gains.
//
// latePriority is sent for turns of programs whose time has passed: they are late in any case,
// and would delay others that can still end in time.
const (
	defaultPriority = "5"
	latePriority    = "6"
)

// instanceHeader returns the caller's headers that are forwarded to an instance. The tenant, the
// memory that engines reserve and the priority are decided by the gateway: the caller's headers
// for them are removed, and so is its key.
//
// An allowlist of headers would not work: callers and instances agree on headers that the gateway
// does not know, and those must be forwarded.
func (s *Server) instanceHeader(r *request) http.Header {
	header := forwardableHeaders(r.header)
	for _, name := range s.dialect.EngineControlHeaders {
		delete(header, name)
	}
	delete(header, s.dialect.Priority)
	delete(header, s.dialect.Tenant)
	if r.table.Tenants != nil {
		delete(header, s.dialect.Authorization)
	}
	if r.tenant != nil {
		header[s.dialect.Tenant] = []string{r.tenant.Name}
	}
	return header
}

// tenantName returns the name of the request's tenant, "" if it has none.
func (r *request) tenantName() string {
	if r.tenant == nil {
		return ""
	}
	return r.tenant.Name
}

// instanceCall returns the request as sent to an instance, with its remaining time.
func (s *Server) instanceCall(r *request, instance backend.Instance) backend.Call {
	header := s.instanceHeader(r)
	remaining := max(1, time.Until(r.deadline).Milliseconds())
	header[s.dialect.Deadline] = []string{strconv.FormatInt(remaining, 10)}
	header[s.dialect.ExpectedInstance] = []string{instance.ID}
	if r.service.Generates {
		header[s.dialect.Priority] = []string{r.enginePriority(time.Now())}
	}
	return backend.Call{
		Method: r.method, Target: r.target, Host: r.host, Header: header, Body: r.body, IDHeader: s.dialect.RequestID, NewConnection: r.lostAnswer,
		Resend: r.refusedBy[instance.ID],
	}
}

// setProgramDeadline parses when the request's program should end. The remaining time in the header
// is negative once that is past.
func (r *request) setProgramDeadline(header string) {
	left, err := strconv.ParseFloat(strings.TrimSpace(r.header.Get(header)), 64)
	if err == nil {
		r.programDeadline = r.arrived.Add(time.Duration(left * float64(time.Millisecond)))
	}
}

// programIsLate reports whether the request's program has exceeded its time.
func (r *request) programIsLate(now time.Time) bool {
	return !r.programDeadline.IsZero() && !now.Before(r.programDeadline)
}

// enginePriority returns the request's priority at an engine.
func (r *request) enginePriority(now time.Time) string {
	if r.programIsLate(now) {
		return latePriority
	}
	return defaultPriority
}

// programLeftMS returns the program's remaining time on arrival for the log, 0 for requests
// without a program.
func (r *request) programLeftMS() int64 {
	if r.programDeadline.IsZero() {
		return 0
	}
	return r.programDeadline.Sub(r.arrived).Milliseconds()
}
