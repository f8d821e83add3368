package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"swiftbank.dev/swiftbank/internal/admission"
	"swiftbank.dev/swiftbank/internal/backend"
	"swiftbank.dev/swiftbank/internal/route"
	"swiftbank.dev/swiftbank/internal/tenant"
)

// request is one caller's attempt on its way through the gateway.
type request struct {
	id       string
	arrived  time.Time
	deadline time.Time
	// programDeadline is when the request's program should be over; zero for requests of none.
	programDeadline time.Time
	route           *route.Route
	table           *route.Table
	service         route.Service
	// tenant is whose request it is; nil on public routes and where there are no tenants.
	tenant *tenant.Tenant
	// keyFingerprint is what the log shows of the caller's key.
	keyFingerprint string
	host           string
	method         string
	target         string
	header         http.Header
	body           []byte
	// held is what the request holds of the memory for callers; nil where that is not bounded.
	held *holding
	// lostAnswer is set once an instance may have run it and gave no whole answer.
	lostAnswer bool
	// firstOfProgram says that it is the firstOfProgram request of a program.
	firstOfProgram bool
	// polls counts the polls that found no slot.
	polls int
	// admission is what was last decided about the beginning of its program, for first requests.
	admission admission.Decision
	// retryAfter is when its caller may come back once it is refused for lack of room.
	retryAfter time.Duration
	// outcome is filled in for the log line at the end.
	outcome outcome
}

// outcome is what the log tells of a request.
type outcome struct {
	status   int
	result   string
	reason   string
	instance string
	// instanceStarted is when the instance started, in Unix milliseconds; 0 where it does not say.
	instanceStarted uint64
	sends           int
	load            int
	cost            float64
	// expectedLoad is load as far as reports of the age reportsAgeMS let it be told.
	expectedLoad float64
	reportsAgeMS int64
	// missingTokens is how many prompt tokens the instance was believed to have to read.
	missingTokens int
	candidates    int
	// lender was asked last for an allowance of the tenant's; limitMS is how long that took.
	lender    string
	limitMS   float64
	reserveMS float64
	firstMS   float64
	commitMS  float64
	events    int
	// tenantExcess is how far above its fair share the tenant of a new program was.
	tenantExcess float64
	// otherCharges is what the program's other turns were charged, epoch the replica set's.
	otherCharges int64
	epoch        uint64
	// askedAllRegions is set when all regions were asked on the program's budget.
	askedAllRegions bool
}

// hopByHopHeaders concern one connection only and are not passed on.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// forwardableHeaders returns the headers that go on to the next hop.
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

// milliseconds reads a header of that unit; ok is false when it is absent or bad.
func milliseconds(header http.Header, name string) (time.Duration, bool) {
	value, err := strconv.ParseFloat(strings.TrimSpace(header.Get(name)), 64)
	if err != nil || value < 0 {
		return 0, false
	}
	return time.Duration(value * float64(time.Millisecond)), true
}

// maxTokens returns the most that the request may generate.
func maxTokens(header http.Header, name string) int64 {
	_, limit, _ := strings.Cut(header.Get(name), ",")
	value, _ := strconv.ParseInt(strings.TrimSpace(limit), 10, 64)
	return value
}

// promptParts reads ID:TOKENS pairs separated by commas.
func promptParts(value string) []backend.Part {
	if value == "" {
		return nil
	}
	var parts []backend.Part
	for field := range strings.SplitSeq(value, ",") {
		id, tokens, _ := strings.Cut(strings.TrimSpace(field), ":")
		count, err := strconv.Atoi(tokens)
		if err == nil {
			parts = append(parts, backend.Part{ID: id, Tokens: count})
		}
	}
	return parts
}

// The priorities that engines are told; 0 is the most urgent.
//
// defaultPriority is given to requests of whatever tenant and route: an engine pushes running
// requests out for more urgent ones and reads their prompts again from the start, which costs
// more than the order gains.
//
// latePriority is given to turns of programs whose time is over: they are late whatever happens,
// and would make others late that can still end in time.
const (
	defaultPriority = "5"
	latePriority    = "6"
)

// instanceHeader returns the caller's headers that go on to an instance. Whose request it
// is, what engines are to reserve and how urgent a request is are the product's to say; the
// caller's words on it do not pass, and neither does its key.
//
// Weighed: a list of the headers that may pass. Callers and instances agree on headers that
// the product does not know, and those must arrive.
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

// instanceCall returns the request as it goes to an instance, with the time that remains.
func (s *Server) instanceCall(r *request, instance backend.Instance) backend.Call {
	header := s.instanceHeader(r)
	remaining := max(1, time.Until(r.deadline).Milliseconds())
	header[s.dialect.Deadline] = []string{strconv.FormatInt(remaining, 10)}
	header[s.dialect.ExpectedInstance] = []string{instance.ID}
	if r.service.Generates {
		header[s.dialect.Priority] = []string{r.enginePriority(time.Now())}
	}
	return backend.Call{
		Method: r.method, Target: r.target, Host: r.host, Header: header, Body: r.body, IDHeader: s.dialect.RequestID, Fresh: r.lostAnswer,
	}
}

// setProgramDeadline reads until when the request's program should be over. The time left is negative
// once that is past.
func (r *request) setProgramDeadline(header string) {
	left, err := strconv.ParseFloat(strings.TrimSpace(r.header.Get(header)), 64)
	if err == nil {
		r.programDeadline = r.arrived.Add(time.Duration(left * float64(time.Millisecond)))
	}
}

// programIsLate reports whether the request's program cannot end in time any more.
func (r *request) programIsLate(now time.Time) bool {
	return !r.programDeadline.IsZero() && !now.Before(r.programDeadline)
}

// enginePriority returns how urgent the request is at an engine.
func (r *request) enginePriority(now time.Time) string {
	if r.programIsLate(now) {
		return latePriority
	}
	return defaultPriority
}

// programLeftMS returns how much time the program has left for the log, 0 for requests of none.
func (r *request) programLeftMS() int64 {
	if r.programDeadline.IsZero() {
		return 0
	}
	return r.programDeadline.Sub(r.arrived).Milliseconds()
}
