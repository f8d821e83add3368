package e2e

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/platform/platformtest"
)

func TestFleet(t *testing.T) {
	f := startFleet(t)
	t.Run("turns fork and continue at another gateway", f.testChain)
	t.Run("interrupted stream resumes within the response", f.testResume)
	t.Run("stream resumes at the instance that ran it", f.testResumeSameInstance)
	t.Run("stream resumes elsewhere after the instance exits", f.testResumeAfterInstanceExit)
	t.Run("stream does not leave an unresponsive instance", f.testResumeUnresponsiveInstance)
	t.Run("request size limits are enforced", f.testLimits)
	t.Run("turn over budget returns 402 and does not run", f.testBudget)
	t.Run("unsafe call with a lost response runs once", f.testLostAnswer)
	t.Run("refused call is retried at another instance", f.testRetryAfterRefusal)
	t.Run("late copy of a refusal is not taken for an answer", f.testLateCopyOfRefusal)
	t.Run("safe call is retried after an instance stops responding", f.testUnresponsiveInstance)
	t.Run("client disconnect cancels the request at the back end", f.testClientDisconnect)
	t.Run("route changes service under load", f.testRouteChangesService)
	t.Run("turns survive a lost disk", f.testLostDisk)
	t.Run("turns survive a kill of all processes", f.testAllKilled)
	t.Run("stream is refused within its deadline when all instances refuse", f.testNoInstance)
	t.Run("graceful stop finishes open streams", f.testPlannedStop)
	t.Run("graceful stop under load answers every request that ran", f.testStopUnderLoad)
	t.Run("gateway starts while the store is down", f.testStoreDownAtStart)
	t.Run("fleet starts from copies while the store is down", f.testStartFromCopy)
	t.Run("machine is retired under load", f.testRetirement)
}

func (f *fleet) testChain(t *testing.T) {
	program := f.newID()
	turn := func(gateway *member, previous, body string) exchangeResult {
		got := f.turn(gateway, turnRequest{path: "/chat/t", program: program, previous: previous, budget: 5000, maxTokens: 50, body: body})
		require.NoError(t, got.err)
		require.Equal(t, http.StatusOK, got.status, got.body)
		return got
	}
	data := f.engines[0].EventData
	first := turn(f.gateways[0], "", "one|")
	second := turn(f.gateways[1], first.id, "two|")
	left := turn(f.gateways[0], second.id, "left|")
	right := turn(f.gateways[1], second.id, "right|")
	history := "one|" + data(first.id) + "two|" + data(second.id)
	require.Equal(t, history+"left|", runsOf(left.id, f.engines)[0].Body)
	require.Equal(t, history+"right|", runsOf(right.id, f.engines)[0].Body)
	require.NotEmpty(t, right.header.Get("X-Server-Signature"))

	unknown := f.turn(f.gateways[0], turnRequest{path: "/chat/t", program: program, previous: "00000000deadbeef", budget: 5000, maxTokens: 50, body: "x"})
	require.Equal(t, http.StatusServiceUnavailable, unknown.status)
	require.NotEmpty(t, unknown.header.Get("Retry-After"))
	require.Empty(t, runsOf(unknown.id, f.engines))
}

func (f *fleet) testResume(t *testing.T) {
	var once sync.Once
	cut := func(*http.Request) platformtest.Behaviour {
		var behaviour platformtest.Behaviour
		once.Do(func() { behaviour.AbortAfterEvents = 2 })
		return behaviour
	}
	for _, engine := range f.engines {
		engine.SetBehaviour(cut)
		defer engine.SetBehaviour(nil)
	}
	const budget = 5000
	program := f.newID()
	got := f.turn(f.gateways[0], turnRequest{path: "/plan/t", program: program, budget: budget, maxTokens: maxTurnTokens, body: "plan"})
	require.NoError(t, got.err)
	require.Equal(t, http.StatusOK, got.status)
	for number := 1; number <= f.engines[0].EventCount; number++ {
		require.Equal(t, 1, strings.Count(got.body, fmt.Sprintf("id: %d\ndata: %s-%d\n\n", number, got.id, number)), got.body)
	}
	runs := runsOf(got.id, f.engines)
	require.Len(t, runs, 2)
	require.Equal(t, 2, max(runs[0].LastEvent, runs[1].LastEvent), "the second run must resume after the last complete event")

	// A stream resumed after its last event has headers and no events.
	header := turnHeader(program, budget)
	header.Set("Last-Event-Id", fmt.Sprint(f.engines[0].EventCount))
	header.Set("Resumes", got.id)
	end := f.post(f.gateways[0], agentHost, "/plan/t", header, "plan")
	require.Equal(t, http.StatusOK, end.status)
	require.NotEmpty(t, end.header.Get("X-Server-Signature"))
	require.Empty(t, end.body)
}

// testResumeSameInstance interrupts streams of a route that allows one instance per request. The
// instance that ran the request must resume it.
func (f *fleet) testResumeSameInstance(t *testing.T) {
	for range 8 {
		var once sync.Once
		for _, engine := range f.engines {
			engine.SetBehaviour(func(*http.Request) platformtest.Behaviour {
				var behaviour platformtest.Behaviour
				once.Do(func() { behaviour.AbortAfterEvents = 1 })
				return behaviour
			})
			defer engine.SetBehaviour(nil)
		}
		got := f.turn(f.gateways[0], turnRequest{path: "/plan/t", program: f.newID(), budget: 5000, maxTokens: 50, body: "plan"})
		require.Equal(t, http.StatusOK, got.status)
		ran := 0
		for _, engine := range f.engines {
			if runs := runsOf(got.id, []*platformtest.Engine{engine}); len(runs) > 0 {
				ran++
				require.Len(t, runs, 2)
			}
		}
		require.Equal(t, 1, ran, "the request must run on one instance")
	}
}

// testResumeAfterInstanceExit interrupts a stream at an instance that then refuses connections, as
// after its process exits. The stream must resume at another instance, although the route allows one
// instance per request.
func (f *fleet) testResumeAfterInstanceExit(t *testing.T) {
	defer f.serveAll()
	exited := f.interruptAtExit()
	got := f.turn(f.gateways[0], turnRequest{path: "/plan/t", program: f.newID(), budget: 5000, maxTokens: 50, body: "plan"})
	require.Equal(t, http.StatusOK, got.status)
	require.Equal(t, f.engines[0].EventCount, strings.Count(got.body, "\n\n"))
	f.replaceEngine(exited(), f.engines[exited()].ID+"-again")
}

// interruptAtExit makes the engine that runs the next stream interrupt it after the first event and then
// refuse connections, as after its process exits. The returned function returns its index.
func (f *fleet) interruptAtExit() (exited func() int) {
	var once sync.Once
	chosen := -1
	for index, engine := range f.engines {
		engine.SetBehaviour(func(*http.Request) platformtest.Behaviour {
			var behaviour platformtest.Behaviour
			once.Do(func() {
				chosen, behaviour.AbortAfterEvents = index, 1
				engine.CloseListener()
			})
			return behaviour
		})
	}
	return func() int { return chosen }
}

// testResumeUnresponsiveInstance interrupts a stream, after which the instances accept connections
// but close every request without a response. Such an instance may still be running, so no other
// instance may run the request.
func (f *fleet) testResumeUnresponsiveInstance(t *testing.T) {
	var once sync.Once
	for _, engine := range f.engines {
		engine.SetBehaviour(func(*http.Request) platformtest.Behaviour {
			behaviour := platformtest.Behaviour{DropResponse: true}
			once.Do(func() { behaviour = platformtest.Behaviour{AbortAfterEvents: 1} })
			return behaviour
		})
		defer engine.SetBehaviour(nil)
	}
	got := f.turn(f.gateways[0], turnRequest{path: "/plan/t", program: f.newID(), budget: 5000, maxTokens: 50, body: "plan"})
	require.Error(t, got.err, "the response must break off")
	ran := 0
	for _, engine := range f.engines {
		if len(runsOf(got.id, []*platformtest.Engine{engine})) > 0 {
			ran++
		}
	}
	require.Equal(t, 1, ran, "the request must run on one instance")
}

func (f *fleet) testBudget(t *testing.T) {
	program := f.newID()
	const spent = 40 // four events of ten tokens
	previous := ""
	for turn := range 3 {
		gateway := f.gateways[turn%len(f.gateways)]
		got := f.turn(gateway, turnRequest{path: "/chat/t", program: program, previous: previous, budget: 3*spent + 20, maxTokens: 50, body: "x"})
		require.Equal(t, http.StatusOK, got.status, got.body)
		previous = got.id
	}
	refused := f.turn(f.gateways[1], turnRequest{path: "/chat/t", program: program, previous: previous, budget: 3*spent + 20, maxTokens: 50, body: "x"})
	require.Equal(t, http.StatusPaymentRequired, refused.status)
	require.Empty(t, runsOf(refused.id, f.engines))
}

func (f *fleet) testLostAnswer(t *testing.T) {
	for _, app := range f.apps {
		app.SetBehaviour(func(*http.Request) platformtest.Behaviour { return platformtest.Behaviour{DropResponse: true} })
		defer app.SetBehaviour(nil)
	}
	unsafe := f.post(f.gateways[0], appsHost, "/charge/a", nil, "charge")
	require.Equal(t, http.StatusBadGateway, unsafe.status)
	require.Len(t, runsOf(unsafe.id, f.apps), 1)

	var once sync.Once
	for _, app := range f.apps {
		app.SetBehaviour(func(*http.Request) platformtest.Behaviour {
			var behaviour platformtest.Behaviour
			once.Do(func() { behaviour.DropResponse = true })
			return behaviour
		})
	}
	safe := f.post(f.gateways[0], appsHost, "/start/a", nil, "")
	require.Equal(t, http.StatusOK, safe.status)
	require.Len(t, runsOf(safe.id, f.apps), 2)

	unsigned := func(*http.Request) platformtest.Behaviour { return platformtest.Behaviour{OmitSignature: true} }
	for _, app := range f.apps {
		app.SetBehaviour(unsigned)
	}
	forged := f.post(f.gateways[0], appsHost, "/charge/a", nil, "charge")
	require.Equal(t, http.StatusBadGateway, forged.status)
}

func (f *fleet) testRetryAfterRefusal(t *testing.T) {
	f.apps[0].SetBehaviour(func(*http.Request) platformtest.Behaviour { return platformtest.Behaviour{Refuse: true} })
	defer f.apps[0].SetBehaviour(nil)
	for range 4 {
		got := f.post(f.gateways[0], appsHost, "/charge/a", nil, "charge")
		require.Equal(t, http.StatusOK, got.status, got.body)
		require.Len(t, runsOf(got.id, f.apps), 1)
	}
}

// startLoad sends calls until stop is closed. The returned function waits for them and returns
// the ones that failed.
func (f *fleet) startLoad(host, path string, header http.Header, stop <-chan struct{}) (failed func() []exchangeResult) {
	const callers = 4
	var mu sync.Mutex
	var failures []exchangeResult
	var running sync.WaitGroup
	for caller := range callers {
		running.Go(func() {
			for number := 0; ; number++ {
				select {
				case <-stop:
					return
				default:
				}
				id := fmt.Sprintf("%08x%08x", caller+1, number+1)
				got := exchange(f.gateways[number%len(f.gateways)], id, host, path, header, "x")
				if got.err != nil || got.status != http.StatusOK {
					mu.Lock()
					failures = append(failures, got)
					mu.Unlock()
				}
			}
		})
	}
	return func() []exchangeResult { running.Wait(); return failures }
}

func (f *fleet) testRouteChangesService(t *testing.T) {
	rerouted := platformtest.NewEngine("i-moved-1")
	f.t.Cleanup(rerouted.Close)
	f.reroutedApp = rerouted
	f.store.Put("servers", rerouted.ID, rerouted.Entry("apps-2", zones[0], "ready"))
	next := f.config.Clone(5)
	next.Services = append(next.Services, map[string]any{"name": "apps-2", "connection_limit": 100})
	next.Routes[3]["service"] = "apps-2"
	stop := make(chan struct{})
	failed := f.startLoad(appsHost, "/charge/m", nil, stop)
	require.Eventually(t, func() bool { return len(f.apps[0].Runs()) > 20 }, 20*time.Second, 5*time.Millisecond)
	f.store.Put("config", "main", next)
	require.Eventually(t, func() bool { return len(rerouted.Runs()) > 40 }, 20*time.Second, 5*time.Millisecond)
	// An older configuration version that arrives late is ignored.
	f.store.Put("config", "main", f.config)
	before := len(f.apps[0].Runs()) + len(f.apps[1].Runs())
	count := len(rerouted.Runs())
	require.Eventually(t, func() bool { return len(rerouted.Runs()) > count+40 }, 20*time.Second, 5*time.Millisecond)
	require.Equal(t, before, len(f.apps[0].Runs())+len(f.apps[1].Runs()))
	close(stop)
	require.Empty(t, failed())
	f.config = next
}

func (f *fleet) testLostDisk(t *testing.T) {
	program := f.newID()
	first := f.turn(f.gateways[0], turnRequest{path: "/chat/t", program: program, budget: 9000, maxTokens: 50, body: "kept|"})
	require.Equal(t, http.StatusOK, first.status)
	for _, wiped := range f.replicas {
		f.kill(wiped)
		require.NoError(t, os.RemoveAll(filepath.Join(wiped.dataFolder, "ledger")))
		f.start(wiped)
		// The machine votes again only once its new disk is a voter in the replica set.
		require.Eventually(t, func() bool { return f.voterOnNewDisk(wiped) }, time.Minute, 50*time.Millisecond)
		require.Eventually(t, func() bool { return f.hasTurnOnDisk(wiped, first.id) }, time.Minute, 50*time.Millisecond)
	}
	next := f.turn(f.gateways[1], turnRequest{path: "/chat/t", program: program, previous: first.id, budget: 9000, maxTokens: 50, body: "on|"})
	require.Equal(t, http.StatusOK, next.status, next.body)
	require.Equal(t, "kept|"+f.engines[0].EventData(first.id)+"on|", runsOf(next.id, f.engines)[0].Body)
}

// voterOnNewDisk reports whether the replica has become a voter since its last start.
func (f *fleet) voterOnNewDisk(m *member) bool {
	log := m.log.String()
	last := log[strings.LastIndex(log, `"event":"start"`):]
	return strings.Contains(last, `"voter":true`)
}

// hasTurnOnDisk reports whether the replica's log on disk contains the turn.
func (f *fleet) hasTurnOnDisk(m *member, id string) bool {
	files, _ := filepath.Glob(filepath.Join(m.dataFolder, "ledger", "*.log"))
	for _, file := range files {
		content, err := os.ReadFile(file)
		if err == nil && strings.Contains(string(content), id) {
			return true
		}
	}
	return false
}

func (f *fleet) testAllKilled(t *testing.T) {
	program := f.newID()
	first := f.turn(f.gateways[0], turnRequest{path: "/chat/t", program: program, budget: 100, maxTokens: 50, body: "kept|"})
	require.Equal(t, http.StatusOK, first.status)
	all := f.members()
	for _, m := range all {
		f.kill(m)
	}
	for _, m := range all {
		f.start(m)
	}
	for _, gateway := range f.gateways {
		f.awaitReady(gateway)
	}
	f.awaitTurn()
	next := f.turn(f.gateways[1], turnRequest{path: "/chat/t", program: program, previous: first.id, budget: 100, maxTokens: 50, body: "on|"})
	require.Equal(t, http.StatusOK, next.status, next.body)
	require.Equal(t, "kept|"+f.engines[0].EventData(first.id)+"on|", runsOf(next.id, f.engines)[0].Body)
	// 40 + 40 of 100 tokens are spent: usage from before the kill still counts.
	refused := f.turn(f.gateways[0], turnRequest{path: "/chat/t", program: program, previous: next.id, budget: 100, maxTokens: 50, body: "x"})
	require.Equal(t, http.StatusPaymentRequired, refused.status)
}

func (f *fleet) testPlannedStop(t *testing.T) {
	for _, engine := range f.engines {
		engine.EventInterval = 200 * time.Millisecond
		defer func() { engine.EventInterval = 0 }()
	}
	results := make(chan exchangeResult, 1)
	id := f.newID()
	go func() {
		results <- exchange(f.gateways[0], id, agentHost, "/plan/t", http.Header{"X-Token-Count": {"10,50"}}, "x")
	}()
	require.Eventually(t, func() bool { return len(runsOf(id, f.engines)) == 1 }, 10*time.Second, 5*time.Millisecond)
	require.NoError(t, f.gateways[0].command.Process.Signal(syscall.SIGTERM))
	require.Eventually(t, func() bool { return status("http://"+f.gateways[0].readyAddress+"/readiness") != http.StatusOK }, 10*time.Second, 5*time.Millisecond)
	got := <-results
	require.NoError(t, got.err)
	require.Contains(t, got.body, fmt.Sprintf("id: %d\n", f.engines[0].EventCount))
	require.NoError(t, <-f.gateways[0].exited)
	f.start(f.gateways[0])
	f.awaitReady(f.gateways[0])
}

func (f *fleet) testStoreDownAtStart(t *testing.T) {
	f.store.SetFault(func(*http.Request) platformtest.Fault {
		return platformtest.Fault{Status: http.StatusServiceUnavailable}
	})
	f.kill(f.gateways[0])
	f.start(f.gateways[0])
	require.Eventually(t, func() bool {
		got := f.post(f.gateways[0], appsHost, "/charge/a", nil, "x")
		return got.status == http.StatusServiceUnavailable && got.header.Get("Retry-After") != ""
	}, 20*time.Second, 20*time.Millisecond)
	require.NotEqual(t, http.StatusOK, status("http://"+f.gateways[0].readyAddress+"/readiness"))
	// The gateway that was already running keeps serving.
	other := f.turn(f.gateways[1], turnRequest{path: "/chat/t", program: f.newID(), budget: 500, maxTokens: 50, body: "x"})
	require.Equal(t, http.StatusOK, other.status, other.body)
	f.store.SetFault(nil)
	f.awaitReady(f.gateways[0])
}

// testStartFromCopy kills all processes while the store is down. The restarted processes must
// serve from the replicas' copies and follow the store once it is available again.
func (f *fleet) testStartFromCopy(t *testing.T) {
	f.store.SetFault(func(*http.Request) platformtest.Fault {
		return platformtest.Fault{Status: http.StatusServiceUnavailable}
	})
	for _, member := range f.members() {
		f.kill(member)
	}
	f.seedGateways()
	for _, member := range f.members() {
		f.start(member)
	}
	for _, gateway := range f.gateways {
		f.awaitReady(gateway)
	}
	f.awaitTurn()
	call := f.post(f.gateways[0], appsHost, "/charge/a", nil, "x")
	require.Equal(t, http.StatusOK, call.status, call.body)
	unknown := f.post(f.gateways[0], appsHost, "/nowhere/", nil, "x")
	require.Equal(t, http.StatusServiceUnavailable, unknown.status, "a copy may lack the newest routes, so the gateway must not return 404")
	f.store.SetFault(nil)
	require.Eventually(t, func() bool {
		return f.post(f.gateways[0], appsHost, "/nowhere/", nil, "x").status == http.StatusNotFound
	}, time.Minute, 50*time.Millisecond, "the gateway must use the store's configuration again")
}

// seedGateways adds the replicas' copy addresses to the settings of the gateways.
func (f *fleet) seedGateways() {
	seeds := "seeds:\n"
	for _, replica := range f.replicas {
		seeds += "  - " + replica.copyAddress + "\n"
	}
	for _, gateway := range f.gateways {
		content, err := os.ReadFile(gateway.settings)
		require.NoError(f.t, err)
		gateway.settings = f.write(gateway.name, string(content)+seeds)
	}
}

// testStopUnderLoad keeps connections busy while a gateway stops. Every request that ran at an
// instance must get a response.
func (f *fleet) testStopUnderLoad(t *testing.T) {
	const callers = 8
	var mu sync.Mutex
	var failed []string
	stop := make(chan struct{})
	var running sync.WaitGroup
	for caller := range callers {
		running.Go(func() {
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
			for number := 0; ; number++ {
				select {
				case <-stop:
					return
				default:
				}
				id := fmt.Sprintf("%08x%08x", 0xabc0+caller, number)
				if !f.postKeepAlive(client, id) {
					mu.Lock()
					failed = append(failed, id)
					mu.Unlock()
				}
			}
		})
	}
	require.Eventually(t, func() bool { return f.appRuns() > 100 }, 20*time.Second, 5*time.Millisecond)
	require.NoError(t, f.gateways[0].command.Process.Signal(syscall.SIGTERM))
	require.NoError(t, <-f.gateways[0].exited)
	close(stop)
	running.Wait()
	for _, id := range failed {
		require.Empty(t, f.runsOfApps(id), "request %s ran without a response", id)
	}
	f.start(f.gateways[0])
	f.awaitReady(f.gateways[0])
}

// postKeepAlive sends a call over the client's keep-alive connection and reports whether it succeeded.
func (f *fleet) postKeepAlive(client *http.Client, id string) bool {
	request, err := http.NewRequest(http.MethodPost, "http://"+f.gateways[0].address+"/charge/k", strings.NewReader("x"))
	if err != nil {
		return false
	}
	request.Host = appsHost
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", "5000")
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK
}

// calledApps returns the instances that may have run calls, including those of rerouted services.
func (f *fleet) calledApps() []*platformtest.Engine {
	if f.reroutedApp == nil {
		return f.apps
	}
	return append([]*platformtest.Engine{f.reroutedApp}, f.apps...)
}

func (f *fleet) appRuns() int {
	total := 0
	for _, app := range f.calledApps() {
		total += len(app.Runs())
	}
	return total
}

func (f *fleet) runsOfApps(id string) []platformtest.Run { return runsOf(id, f.calledApps()) }

func (f *fleet) testRetirement(t *testing.T) {
	program := f.newID()
	first := f.turn(f.gateways[0], turnRequest{path: "/chat/t", program: program, budget: 9000, maxTokens: 50, body: "kept|"})
	require.Equal(t, http.StatusOK, first.status, first.body)
	stop := make(chan struct{})
	failed := f.startLoad(agentHost, "/chat/load", http.Header{"X-Token-Count": {"10,50"}}, stop)
	leaving := f.replicas[2]
	f.store.Put("retirements", leaving.name, map[string]any{"duration_s": 10})
	require.Eventually(t, func() bool {
		object, _ := f.store.Get("retirements", leaving.name)
		return strings.Contains(string(object.Status), "completed")
	}, time.Minute, 20*time.Millisecond)
	f.kill(leaving)
	close(stop)
	require.Empty(t, failed())
	next := f.turn(f.gateways[1], turnRequest{path: "/chat/t", program: program, previous: first.id, budget: 9000, maxTokens: 50, body: "on|"})
	require.Equal(t, http.StatusOK, next.status, next.body)
}

// testNoInstance makes every engine refuse. The request must be refused with a Retry-After
// header after a bounded number of attempts.
func (f *fleet) testNoInstance(t *testing.T) {
	var mu sync.Mutex
	sends := 0
	for _, engine := range f.engines {
		engine.SetBehaviour(func(*http.Request) platformtest.Behaviour {
			mu.Lock()
			defer mu.Unlock()
			sends++
			return platformtest.Behaviour{Refuse: true}
		})
		defer engine.SetBehaviour(nil)
	}
	got := f.post(f.gateways[0], agentHost, "/plan/t", http.Header{"X-Token-Count": {"10,50"}, "X-Deadline-Ms": {"1000"}}, "x")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.NotEmpty(t, got.header.Get("Retry-After"))
	mu.Lock()
	defer mu.Unlock()
	require.Less(t, sends, 500)
}

// testUnresponsiveInstance makes one instance accept requests without responding. Safe calls must
// be retried at the other instance.
func (f *fleet) testUnresponsiveInstance(t *testing.T) {
	hold := make(chan struct{})
	defer close(hold)
	f.apps[0].SetBehaviour(func(*http.Request) platformtest.Behaviour { return platformtest.Behaviour{Hold: hold} })
	defer f.apps[0].SetBehaviour(nil)
	for range 4 {
		got := f.post(f.gateways[0], appsHost, "/start/s", nil, "")
		require.Equal(t, http.StatusOK, got.status, got.body)
	}
}

func (f *fleet) testLimits(t *testing.T) {
	long := f.post(f.gateways[0], appsHost, "/charge/a", http.Header{"X-Long": {strings.Repeat("x", 17000)}}, "x")
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, long.status)
	large := f.post(f.gateways[0], appsHost, "/charge/a", nil, strings.Repeat("x", 1<<20+1))
	require.Equal(t, http.StatusRequestEntityTooLarge, large.status)
	within := f.post(f.gateways[0], appsHost, "/charge/a", http.Header{"X-Long": {strings.Repeat("x", 12000)}}, strings.Repeat("x", 1<<20))
	require.Equal(t, http.StatusOK, within.status, within.body)
	require.Empty(t, append(runsOf(long.id, f.apps), runsOf(large.id, f.apps)...))
}
