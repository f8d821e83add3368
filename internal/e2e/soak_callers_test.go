package e2e

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// requestKind is the kind of a request.
type requestKind uint8

const (
	retainedTurn requestKind = iota
	resumableTurn
	safeCall
	unsafeCall
)

// record is one request and its outcome.
type record struct {
	exchangeResult
	kind      requestKind
	program   string
	budget    int
	maxTokens int
	// previous is the turn that the request continues; input is the request body.
	previous completedTurn
	input    string
	// resumes is the attempt that returned the first event of the stream that the request resumes after
	// lastEvent; "" for requests that resume none.
	resumes   string
	lastEvent int
	gateway   string
	// tenant is the index of the tenant in soakTenants.
	tenant int
	sentAt time.Duration
	took   time.Duration
}

// soakCaller runs programs sequentially.
type soakCaller struct {
	*soak
	random *rand.Rand
	// tenant is the index of the tenant in soakTenants.
	tenant int
	// client keeps its connections until the gateway closes them, or opens one for each request.
	client *http.Client
	// readsSlowly makes the caller read responses through a slowBody.
	readsSlowly bool
}

// newCaller returns a caller with a random number generator of its own. Every second caller keeps its connections.
func (s *soak) newCaller(number uint64, tenant int) *soakCaller {
	transport := &http.Transport{DisableKeepAlives: number%2 == 0}
	s.t.Cleanup(transport.CloseIdleConnections)
	return &soakCaller{soak: s, random: rand.New(rand.NewPCG(s.seed, number)), tenant: tenant, client: &http.Client{Transport: transport}}
}

// soakSlack is the number of requests by which a tenant may exceed its limit.
const soakSlack = 20

// soakLimit is the rate limit of the last tenant, which its callers exceed.
var soakLimit = struct{ perSecond, burst int }{30, 30}

// soakTenants are the tenants of the callers.
var soakTenants = []map[string]any{
	{"name": "riga", "api_keys": []string{keyOfRiga}},
	{"name": "luzon", "api_keys": []string{keyOfLuzon}, "rate_per_s": soakLimit.perSecond, "burst": soakLimit.burst},
}

// keyOf returns the API key of the tenant with the given index.
func keyOf(tenant int) string { return soakTenants[tenant]["api_keys"].([]string)[0] }

const (
	turnTokens     = 40 // four events of ten tokens each
	maxTurnTokens  = 50
	maxTurns       = 5
	maxAttempts    = 4
	continueShare  = 0.25
	resumableShare = 0.3
	// disconnectShare is the share of resumable streams whose caller disconnects after the first event and
	// resumes the stream.
	disconnectShare = 0.5
)

// runProgram runs one program: turns with tool calls between them.
func (c *soakCaller) runProgram() {
	program := "p-" + c.nextID()
	budget := maxTurnTokens * (1 + c.random.IntN(maxTurns))
	var latest completedTurn
	if c.random.Float64() < continueShare {
		latest = c.randomCompletedTurn()
	}
	for range 1 + c.random.IntN(maxTurns) {
		next, succeeded := c.turn(program, budget, latest)
		if !succeeded {
			return
		}
		latest = next
		c.call(program, safeCall)
		if c.random.IntN(2) == 0 {
			c.call(program, unsafeCall)
		}
	}
}

// randomCompletedTurn returns a random completed turn, or the zero value if there is none or it
// belongs to another tenant.
func (c *soakCaller) randomCompletedTurn() completedTurn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.completed) == 0 {
		return completedTurn{}
	}
	if kept := c.completed[c.random.IntN(len(c.completed))]; kept.tenant == c.tenant {
		return kept
	}
	return completedTurn{}
}

// turn retries one turn until it succeeds, its budget is used up or maxAttempts is reached.
func (c *soakCaller) turn(program string, budget int, previous completedTurn) (completedTurn, bool) {
	kind, path := retainedTurn, "/chat/s"
	if c.random.Float64() < resumableShare {
		kind, path, previous = resumableTurn, "/plan/s", completedTurn{}
	}
	var resumes string
	lastEvent := 0
	for range maxAttempts {
		request := record{kind: kind, program: program, budget: budget, maxTokens: maxTurnTokens, previous: previous, resumes: resumes, lastEvent: lastEvent}
		header := turnHeader(program, budget)
		if previous.id != "" {
			header.Set("X-Previous-Turn", previous.id)
		}
		if resumes != "" {
			header.Set("Resumes", resumes)
			header.Set("Last-Event-Id", strconv.Itoa(lastEvent))
		}
		got := c.send(request, agentHost, path, header)
		if got.status == http.StatusPaymentRequired {
			return completedTurn{}, false
		}
		if got.succeeded() {
			return completedTurn{id: got.id, history: previous.history + got.input + c.engines[0].EventData(got.id), tenant: c.tenant}, true
		}
		switch {
		case kind == resumableTurn && got.status == http.StatusOK && got.events() > 0:
			lastEvent += got.events()
			if resumes == "" {
				resumes = got.id
			}
		case notRunStatuses[got.status]:
			resumes, lastEvent = "", 0 // the rest is refused: start again
		}
	}
	return completedTurn{}, false
}

// call makes one tool call.
func (c *soakCaller) call(program string, kind requestKind) {
	path := "/start/s"
	if kind == unsafeCall {
		path = "/charge/s"
	}
	c.send(record{kind: kind, program: program}, appsHost, path, http.Header{"X-Program-Id": {program}})
}

// send sends one request to a random gateway and records the outcome.
func (c *soakCaller) send(request record, host, path string, header http.Header) record {
	gateway := c.gateways[c.random.IntN(len(c.gateways))]
	request.gateway = gateway.name
	id := c.nextID()
	request.tenant = c.tenant
	header.Set("Authorization", "Bearer "+keyOf(c.tenant))
	header.Set("X-Tenant", "forged")
	request.input = "input-" + id + "|"
	request.sentAt = time.Since(c.startedAt)
	request.exchangeResult = exchangeOver(c.client, gateway, id, host, path, header, request.input, c.reader(request))
	request.took = time.Since(c.startedAt) - request.sentAt
	c.mu.Lock()
	defer c.mu.Unlock()
	c.records = append(c.records, request)
	if request.kind == retainedTurn && request.succeeded() {
		c.completed = append(c.completed, completedTurn{id: id, history: request.previous.history + request.input + c.engines[0].EventData(id), tenant: c.tenant})
	}
	return request
}

// reader returns the reader through which the caller reads a response; nil reads it normally.
func (c *soakCaller) reader(request record) func(io.Reader) io.Reader {
	switch {
	case c.readsSlowly:
		return func(body io.Reader) io.Reader { return slowBody{body} }
	case request.kind == resumableTurn && request.resumes == "" && c.random.Float64() < disconnectShare:
		return func(body io.Reader) io.Reader { return &firstEvent{body: body} }
	default:
		return nil
	}
}

// firstEvent reads a stream up to the end of its first event, and then fails.
type firstEvent struct {
	body io.Reader
	read []byte
}

func (f *firstEvent) Read(buffer []byte) (int, error) {
	if bytes.HasSuffix(f.read, []byte("\n\n")) {
		return 0, io.ErrUnexpectedEOF
	}
	count, err := f.body.Read(buffer[:min(1, len(buffer))])
	f.read = append(f.read, buffer[:count]...)
	return count, err
}

// succeeded reports whether the caller received a complete response with status 200.
func (r record) succeeded() bool { return r.err == nil && r.status == http.StatusOK }

// events returns the number of complete stream events that the caller received.
func (r record) events() int { return strings.Count(r.body, "\n\n") }
