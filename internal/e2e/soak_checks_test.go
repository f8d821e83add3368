package e2e

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/platform/platformtest"
)

// promises lists the statuses that say that a request has not run and never will.
var promises = map[int]bool{
	http.StatusPaymentRequired: true, http.StatusNotFound: true, http.StatusRequestTimeout: true,
	http.StatusRequestEntityTooLarge: true, http.StatusMisdirectedRequest: true,
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
}

// fleetIDs begins the ids of requests that the fleet itself sends at its start.
const fleetIDs = "00000000"

// backEnds returns all stand-ins.
func (s *soak) backEnds() []*platformtest.Engine {
	return append(append([]*platformtest.Engine{}, s.engines...), s.apps...)
}

// runsByID returns all runs of the back ends, by request.
func (s *soak) runsByID() map[string][]platformtest.Run {
	runs := map[string][]platformtest.Run{}
	for _, backEnd := range s.backEnds() {
		for _, run := range backEnd.Runs() {
			runs[run.ID] = append(runs[run.ID], run)
		}
	}
	return runs
}

// checkAll checks every request against what ran.
func (s *soak) checkAll(t assert.TestingT, runs map[string][]platformtest.Run) {
	asked := map[string]bool{}
	tokens, budgets := map[string]int{}, map[string]int{}
	for _, r := range s.records {
		asked[r.id] = true
		s.checkOne(t, r, runs[r.id])
		if r.kind == retainedTurn || r.kind == resumableTurn {
			tokens[r.program] += r.events() * turnTokens / 4
			budgets[r.program] = r.budget
		}
	}
	for program, spent := range tokens {
		assert.LessOrEqual(t, spent, budgets[program]+turnMost, "budget of %s", program)
	}
	for id := range runs {
		assert.True(t, asked[id] || strings.HasPrefix(id, fleetIDs), "nobody asked for %s", id)
	}
}

func (s *soak) checkOne(t assert.TestingT, r record, runs []platformtest.Run) {
	about := fmt.Sprintf("request %s to %s at %.3f s: status %d, error %v, %d runs", r.id, r.gateway, r.sentAt.Seconds(), r.status, r.err, len(runs))
	if promises[r.status] {
		assert.Empty(t, runs, "ran although refused: %s", about)
	}
	if r.kind == unsafeCall || r.kind == retainedTurn {
		assert.LessOrEqual(t, len(runs), 1, "ran more than once: %s", about)
	}
	if r.kind == safeCall {
		assert.LessOrEqual(t, len(runs), 2, "ran on more instances than allowed: %s", about)
	}
	assert.NotEqual(t, http.StatusNotFound, r.status, "a kept turn or a route is denied: %s", about)
	assert.NotEqual(t, http.StatusGone, r.status, about)
	assert.NotEqual(t, http.StatusUnauthorized, r.status, "a key of the configuration is denied: %s", about)
	for _, run := range runs {
		assert.Equal(t, []string{soakTenants[r.tenant]["name"].(string)}, run.Header.Values("X-Tenant"), "another tenant: %s", about)
		assert.Empty(t, run.Header.Values("Authorization"), "the key went on: %s", about)
		assert.Equal(t, r.previous.history+r.input, run.Body, "another prompt: %s", about)
	}
	if r.whole() {
		s.checkAnswer(t, r, runs, about)
	}
	if r.kind == resumableTurn || r.kind == retainedTurn {
		s.checkOrder(t, r, about)
	}
}

// checkLimits counts the runs of the tenant with a limit in every span of a window.
func (s *soak) checkLimits(t assert.TestingT, runs map[string][]platformtest.Run) {
	const window, overage = 5 * time.Second, 0.1
	allowed := float64(soakLimit.perSecond*5+soakLimit.burst)*(1+overage) + soakSlack
	type span struct{ sent, ran time.Duration }
	var spans []span
	for _, r := range s.records {
		if r.tenant == len(soakTenants)-1 && len(runs[r.id]) > 0 {
			spans = append(spans, span{r.sentAt, runs[r.id][0].StartedAt.Sub(s.began)})
		}
	}
	for _, first := range spans {
		count := 0
		for _, other := range spans {
			if other.sent >= first.sent && other.ran <= first.sent+window {
				count++
			}
		}
		if float64(count) > allowed {
			assert.Fail(t, "a limit is exceeded", "%d requests were sent and ran in the window from %.3f s on; %.0f are allowed", count, first.sent.Seconds(), allowed)
			return
		}
	}
}

// checkAnswer checks that a success is the whole answer of an instance to this request.
func (s *soak) checkAnswer(t assert.TestingT, r record, runs []platformtest.Run, about string) {
	assert.NotEmpty(t, runs, "answered without a run: %s", about)
	signer := strings.TrimPrefix(r.header.Get("X-Server-Signature"), "signed-by-")
	assert.NotEmpty(t, signer, "not signed: %s", about)
	if r.kind == safeCall || r.kind == unsafeCall {
		assert.Equal(t, "answer to "+r.id+" by "+signer, r.body, about)
		return
	}
	assert.Equal(t, s.engines[0].EventCount, r.events(), "not all events: %s", about)
}

// checkOrder checks that a stream, whole or broken off, holds each event once and in order.
func (s *soak) checkOrder(t assert.TestingT, r record, about string) {
	var expected strings.Builder
	for number := 1; number <= s.engines[0].EventCount; number++ {
		fmt.Fprintf(&expected, "id: %d\ndata: %s-%d\n\n", number, r.id, number)
	}
	if r.status == http.StatusOK {
		assert.True(t, strings.HasPrefix(expected.String(), r.body), "other events: %s: %q", about, r.body)
	}
}

// checkKeptTurns goes on from turns that callers got whole: each must reach an engine
// with its whole history once the faults have ended.
func (s *soak) checkKeptTurns(t *testing.T) {
	const sample = 40
	random := rand.New(rand.NewPCG(s.seed, 1<<32))
	kept := append([]keptTurn{}, s.kept...)
	random.Shuffle(len(kept), func(a, b int) { kept[a], kept[b] = kept[b], kept[a] })
	for _, turn := range kept[:min(sample, len(kept))] {
		require.Eventually(t, func() bool { return s.goesOn(t, turn) }, healLimit, 100*time.Millisecond, "turn %s is lost", turn.id)
	}
}

func (s *soak) goesOn(t *testing.T, turn keptTurn) bool {
	id := s.nextID()
	got := exchange(s.gateways[0], id, agentHost, "/chat/after", http.Header{
		"X-Program-Id": {"p-" + id}, "X-Token-Budget": {"1000"}, "X-Token-Count": {"100,50"}, "X-Previous-Turn": {turn.id},
		"Authorization": {"Bearer " + keyOf(turn.tenant)},
	}, "after|")
	assert.NotEqual(t, http.StatusNotFound, got.status)
	if got.err != nil || got.status != http.StatusOK {
		return false
	}
	runs := runsOf(id, s.engines)
	assert.Len(t, runs, 1)
	assert.Equal(t, turn.history+"after|", runs[0].Body)
	return true
}

// checkConfiguration checks that the newest configuration is in force at every gateway.
func (s *soak) checkConfiguration(t *testing.T) {
	for _, gateway := range s.gateways {
		require.Eventually(t, func() bool {
			got := exchange(gateway, s.newID(), appsHost, s.probePath(s.version), as(keyOfRiga), "x")
			return got.err == nil && got.status == http.StatusOK
		}, healLimit, 100*time.Millisecond, "%s lacks version %d", gateway.name, s.version)
	}
}

func TestTheSoakFindsAnExceededLimit(t *testing.T) {
	check := func(count int, pause time.Duration) int {
		s := &soak{fleet: &fleet{}, began: time.Now()}
		runs := map[string][]platformtest.Run{}
		for number := range count {
			id, at := fmt.Sprint(number), time.Duration(number)*pause
			s.records = append(s.records, record{tenant: len(soakTenants) - 1, sentAt: at, answered: answered{id: id}})
			runs[id] = []platformtest.Run{{ID: id, StartedAt: s.began.Add(at)}}
		}
		var found counter
		s.checkLimits(&found, runs)
		return found.failed
	}
	require.Zero(t, check(200, time.Millisecond))
	require.Positive(t, check(230, time.Millisecond))
	require.Zero(t, check(1000, 26*time.Millisecond))
	require.Positive(t, check(1000, 20*time.Millisecond))
}

// counter counts the checks that failed.
type counter struct{ failed int }

// Errorf implements assert.TestingT.
func (c *counter) Errorf(string, ...any) { c.failed++ }

func TestTheSoakFindsEachBrokenPromise(t *testing.T) {
	engine := platformtest.NewEngine("i-engine-1")
	t.Cleanup(engine.Close)
	const id = "0000000100000001"
	signed := http.Header{"X-Server-Signature": {"signed-by-i-engine-1"}}
	stream := func(numbers ...int) string {
		var body strings.Builder
		for _, number := range numbers {
			fmt.Fprintf(&body, "id: %d\ndata: %s-%d\n\n", number, id, number)
		}
		return body.String()
	}
	run := platformtest.Run{ID: id, Body: "in", Header: http.Header{"X-Tenant": {"riga"}}}
	turn := record{kind: retainedTurn, program: "p", budget: 100, input: "in", answered: answered{id: id, status: http.StatusOK, header: signed, body: stream(1, 2, 3, 4)}}
	call := record{kind: unsafeCall, input: "in", answered: answered{id: id, status: http.StatusOK, header: signed, body: "answer to " + id + " by i-engine-1"}}
	with := func(r record, change func(*record)) record { change(&r); return r }
	check := func(r record, runs ...platformtest.Run) int {
		s := &soak{fleet: &fleet{engines: []*platformtest.Engine{engine}}, records: []record{r}}
		var found counter
		s.checkAll(&found, map[string][]platformtest.Run{id: runs})
		return found.failed
	}
	require.Zero(t, check(turn, run))
	require.Zero(t, check(call, run))
	require.Zero(t, check(with(turn, func(r *record) { r.body, r.err = stream(1, 2), io.ErrUnexpectedEOF }), run), "a stream may break off")
	require.Zero(t, check(with(call, func(r *record) { r.status, r.header = http.StatusServiceUnavailable, nil })))

	require.Positive(t, check(with(call, func(r *record) { r.status = http.StatusServiceUnavailable }), run), "ran although refused")
	require.Positive(t, check(call, run, run), "an unsafe call ran twice")
	require.Positive(t, check(turn, run, run), "a turn ran twice")
	require.Positive(t, check(with(call, func(r *record) { r.kind = safeCall }), run, run, run), "a safe call ran too often")
	require.Positive(t, check(call), "answered without a run")
	require.Positive(t, check(with(call, func(r *record) { r.body = "answer to another by i-engine-1" }), run), "another request's answer")
	require.Positive(t, check(with(call, func(r *record) { r.header = nil }), run), "not signed")
	require.Positive(t, check(with(turn, func(r *record) { r.body = stream(1, 2) }), run), "looks complete")
	require.Positive(t, check(with(turn, func(r *record) { r.body = stream(1, 2, 2, 3) }), run), "an event twice")
	require.Positive(t, check(with(turn, func(r *record) { r.body, r.err = stream(1, 3), io.ErrUnexpectedEOF }), run), "an event missing")
	require.Positive(t, check(turn, platformtest.Run{ID: id, Body: "other", Header: run.Header}), "another prompt")
	require.Positive(t, check(turn, platformtest.Run{ID: id, Body: "in", Header: http.Header{"X-Tenant": {"luzon"}}}), "another tenant")
	require.Positive(t, check(turn, platformtest.Run{ID: id, Body: "in", Header: http.Header{"X-Tenant": {"riga"}, "Authorization": {"Bearer x"}}}), "a key that went on")
	require.Positive(t, check(with(call, func(r *record) { r.status = http.StatusUnauthorized })), "a key denied")
	require.Positive(t, check(with(turn, func(r *record) { r.status = http.StatusNotFound })), "a kept turn denied")
	require.Positive(t, check(with(turn, func(r *record) { r.budget = -20 }), run), "over budget")
	require.Positive(t, check(with(turn, func(r *record) { r.answered.id = "0000000100000002" }), run), "nobody asked")
}
