package e2e

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// requestKind is what a caller asked for.
type requestKind uint8

const (
	retainedTurn requestKind = iota
	resumableTurn
	safeCall
	unsafeCall
)

// record is one request and its answer.
type record struct {
	answered
	kind    requestKind
	program string
	budget  int
	most    int
	// previous is the turn it went on from; input what was sent.
	previous keptTurn
	input    string
	gateway  string
	// tenant is the place of its tenant in soakTenants.
	tenant int
	sentAt time.Duration
	took   time.Duration
}

// soakCaller runs one program after another.
type soakCaller struct {
	*soak
	random *rand.Rand
	// tenant is the place of its tenant in soakTenants.
	tenant int
	// slowly says that it reads answers slowly.
	slowly bool
}

// soakSlack is how far a count of requests may exceed a limit.
const soakSlack = 20

// soakLimit is the limit of the last tenant, which its callers exceed.
var soakLimit = struct{ perSecond, burst int }{30, 30}

// soakTenants are whose callers run programs.
var soakTenants = []map[string]any{
	{"name": "riga", "api_keys": []string{keyOfRiga}},
	{"name": "luzon", "api_keys": []string{keyOfLuzon}, "rate_per_s": soakLimit.perSecond, "burst": soakLimit.burst},
}

// keyOf returns the key of a tenant's callers.
func keyOf(tenant int) string { return soakTenants[tenant]["api_keys"].([]string)[0] }

const (
	turnTokens     = 40 // four events of ten tokens each
	turnMost       = 50
	turnsMost      = 5
	triesMost      = 4
	goOnFromKept   = 0.25
	resumableShare = 0.3
)

// runProgram runs turns with calls of tools between them.
func (c *soakCaller) runProgram() {
	program := "p-" + c.nextID()
	budget := turnMost * (1 + c.random.IntN(turnsMost))
	var line keptTurn
	if c.random.Float64() < goOnFromKept {
		line = c.anyKept()
	}
	for range 1 + c.random.IntN(turnsMost) {
		next, whole := c.turn(program, budget, line)
		if !whole {
			return
		}
		line = next
		c.call(program, safeCall)
		if c.random.IntN(2) == 0 {
			c.call(program, unsafeCall)
		}
	}
}

// anyKept returns a turn that some program of the tenant got whole, or none.
func (c *soakCaller) anyKept() keptTurn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.kept) == 0 {
		return keptTurn{}
	}
	if kept := c.kept[c.random.IntN(len(c.kept))]; kept.tenant == c.tenant {
		return kept
	}
	return keptTurn{}
}

// turn asks for one turn until it is answered whole or was tried often enough.
func (c *soakCaller) turn(program string, budget int, line keptTurn) (keptTurn, bool) {
	kind, path := retainedTurn, "/chat/s"
	if c.random.Float64() < resumableShare {
		kind, path, line = resumableTurn, "/plan/s", keptTurn{}
	}
	for range triesMost {
		asked := record{kind: kind, program: program, budget: budget, most: turnMost, previous: line}
		header := turnHeader(program, budget)
		if line.id != "" {
			header.Set("X-Previous-Turn", line.id)
		}
		got := c.ask(asked, agentHost, path, header)
		if got.status == http.StatusPaymentRequired {
			return keptTurn{}, false
		}
		if got.whole() {
			return keptTurn{id: got.id, history: line.history + got.input + c.engines[0].EventData(got.id), tenant: c.tenant}, true
		}
	}
	return keptTurn{}, false
}

// call calls a tool.
func (c *soakCaller) call(program string, kind requestKind) {
	path := "/start/s"
	if kind == unsafeCall {
		path = "/charge/s"
	}
	c.ask(record{kind: kind, program: program}, appsHost, path, http.Header{"X-Program-Id": {program}})
}

// ask sends one request to some gateway and keeps what came of it.
func (c *soakCaller) ask(asked record, host, path string, header http.Header) record {
	gateway := c.gateways[c.random.IntN(len(c.gateways))]
	asked.gateway = gateway.name
	id := c.nextID()
	asked.tenant = c.tenant
	header.Set("Authorization", "Bearer "+keyOf(c.tenant))
	header.Set("X-Tenant", "forged")
	asked.input = "input-" + id + "|"
	asked.sentAt = time.Since(c.began)
	asked.answered = exchangeAt(gateway, id, host, path, header, asked.input, c.slowly)
	asked.took = time.Since(c.began) - asked.sentAt
	c.mu.Lock()
	defer c.mu.Unlock()
	c.records = append(c.records, asked)
	if asked.kind == retainedTurn && asked.whole() {
		c.kept = append(c.kept, keptTurn{id: id, history: asked.previous.history + asked.input + c.engines[0].EventData(id), tenant: c.tenant})
	}
	return asked
}

// whole reports whether the caller got a whole success.
func (r record) whole() bool { return r.err == nil && r.status == http.StatusOK }

// events returns how many whole events of a stream the caller got.
func (r record) events() int { return strings.Count(r.body, "\n\n") }
