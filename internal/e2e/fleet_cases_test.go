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
	t.Run("a chain of turns forks and moves between gateways", f.testChain)
	t.Run("a stream that breaks off is resumed within one answer", f.testResume)
	t.Run("a stream is resumed by the instance that ran it", f.testResumeStays)
	t.Run("a stream leaves an instance whose process has ended", f.testResumeLeaves)
	t.Run("a stream stays with an instance that gives nothing any more", f.testResumeWaits)
	t.Run("the configuration's limits hold", f.testLimits)
	t.Run("a spent budget ends in 402 and the turn does not run", f.testBudget)
	t.Run("an unsafe call whose answer is lost runs once", f.testLostAnswer)
	t.Run("a refused call goes to another instance", f.testRefused)
	t.Run("a safe call leaves an instance that fell silent", f.testSilent)
	t.Run("a caller that leaves ends the work of the engine", f.testCallerLeaves)
	t.Run("a route moves under load", f.testRouteMoves)
	t.Run("turns outlive a lost disk", f.testLostDisk)
	t.Run("turns outlive the loss of all processes", f.testAllKilled)
	t.Run("without an instance a stream is refused once, in time", f.testNoInstance)
	t.Run("a planned stop cuts nothing off", f.testPlannedStop)
	t.Run("a planned stop under load leaves no request without an answer", f.testStopUnderLoad)
	t.Run("a store that is down at start", f.testStoreDownAtStart)
	t.Run("a fleet starts from copies while the store is down", f.testStartFromCopy)
	t.Run("a machine is emptied under load", f.testRetirement)
}

func (f *fleet) testChain(t *testing.T) {
	program := f.newID()
	turn := func(gateway *member, previous, body string) answered {
		got := f.turn(gateway, turnRequest{path: "/chat/t", program: program, previous: previous, budget: 5000, most: 50, body: body})
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

	unknown := f.turn(f.gateways[0], turnRequest{path: "/chat/t", program: program, previous: "00000000deadbeef", budget: 5000, most: 50, body: "x"})
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
	got := f.turn(f.gateways[0], turnRequest{path: "/plan/t", program: f.newID(), budget: 5000, most: 50, body: "plan"})
	require.NoError(t, got.err)
	require.Equal(t, http.StatusOK, got.status)
	for number := 1; number <= f.engines[0].EventCount; number++ {
		require.Equal(t, 1, strings.Count(got.body, fmt.Sprintf("id: %d\ndata: %s-%d\n\n", number, got.id, number)), got.body)
	}
	runs := runsOf(got.id, f.engines)
	require.Len(t, runs, 2)
	require.Equal(t, 2, max(runs[0].LastEvent, runs[1].LastEvent), "the second run goes on behind the last whole event")

	// A stream that is resumed behind its last event has a head and no events.
	header := http.Header{"Last-Event-Id": {fmt.Sprint(f.engines[0].EventCount)}, "X-Token-Count": {"10,50"}}
	end := f.post(f.gateways[0], agentHost, "/plan/t", header, "plan")
	require.Equal(t, http.StatusOK, end.status)
	require.NotEmpty(t, end.header.Get("X-Server-Signature"))
	require.Empty(t, end.body)
}

// testResumeStays cuts streams of a route that allows one instance for a request: it is the one
// that ran it that goes on.
func (f *fleet) testResumeStays(t *testing.T) {
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
		got := f.turn(f.gateways[0], turnRequest{path: "/plan/t", program: f.newID(), budget: 5000, most: 50, body: "plan"})
		require.Equal(t, http.StatusOK, got.status)
		ran := 0
		for _, engine := range f.engines {
			if runs := runsOf(got.id, []*platformtest.Engine{engine}); len(runs) > 0 {
				ran++
				require.Len(t, runs, 2)
			}
		}
		require.Equal(t, 1, ran, "another instance ran the request as well")
	}
}

// testResumeLeaves cuts a stream at an instance whose process then ends: the stream goes on
// elsewhere, though the route allows one instance.
func (f *fleet) testResumeLeaves(t *testing.T) {
	var once sync.Once
	ended := -1
	for index, engine := range f.engines {
		engine.SetBehaviour(func(*http.Request) platformtest.Behaviour {
			var behaviour platformtest.Behaviour
			once.Do(func() {
				ended, behaviour.AbortAfterEvents = index, 1
				engine.CloseListener()
			})
			return behaviour
		})
		defer engine.SetBehaviour(nil)
	}
	got := f.turn(f.gateways[0], turnRequest{path: "/plan/t", program: f.newID(), budget: 5000, most: 50, body: "plan"})
	require.Equal(t, http.StatusOK, got.status)
	require.Equal(t, f.engines[0].EventCount, strings.Count(got.body, "\n\n"))
	f.store.Delete("servers", f.engines[ended].ID)
	f.engines[ended] = f.newBackEnd(f.engines[ended].ID+"-again", "llm", zones[ended%len(zones)])
}

// testResumeWaits cuts streams at instances that then end each request without an answer and
// accept connections: they are not known to be gone, and nobody else may run the request.
func (f *fleet) testResumeWaits(t *testing.T) {
	var once sync.Once
	for _, engine := range f.engines {
		engine.SetBehaviour(func(*http.Request) platformtest.Behaviour {
			behaviour := platformtest.Behaviour{DropResponse: true}
			once.Do(func() { behaviour = platformtest.Behaviour{AbortAfterEvents: 1} })
			return behaviour
		})
		defer engine.SetBehaviour(nil)
	}
	got := f.turn(f.gateways[0], turnRequest{path: "/plan/t", program: f.newID(), budget: 5000, most: 50, body: "plan"})
	require.Error(t, got.err, "the answer ends without the stream's end")
	ran := 0
	for _, engine := range f.engines {
		if len(runsOf(got.id, []*platformtest.Engine{engine})) > 0 {
			ran++
		}
	}
	require.Equal(t, 1, ran, "more instances ran the request than its route allows")
}

func (f *fleet) testBudget(t *testing.T) {
	program := f.newID()
	const spent = 40 // four events of ten tokens
	previous := ""
	for turn := range 3 {
		gateway := f.gateways[turn%len(f.gateways)]
		got := f.turn(gateway, turnRequest{path: "/chat/t", program: program, previous: previous, budget: 3*spent + 20, most: 50, body: "x"})
		require.Equal(t, http.StatusOK, got.status, got.body)
		previous = got.id
	}
	refused := f.turn(f.gateways[1], turnRequest{path: "/chat/t", program: program, previous: previous, budget: 3*spent + 20, most: 50, body: "x"})
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

func (f *fleet) testRefused(t *testing.T) {
	f.apps[0].SetBehaviour(func(*http.Request) platformtest.Behaviour { return platformtest.Behaviour{Refuse: true} })
	defer f.apps[0].SetBehaviour(nil)
	for range 4 {
		got := f.post(f.gateways[0], appsHost, "/charge/a", nil, "charge")
		require.Equal(t, http.StatusOK, got.status, got.body)
		require.Len(t, runsOf(got.id, f.apps), 1)
	}
}

// load sends calls until stop is closed and returns those that did not succeed.
func (f *fleet) load(host, path string, header http.Header, stop <-chan struct{}) (failed func() []answered) {
	const callers = 4
	var mu sync.Mutex
	var all []answered
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
					all = append(all, got)
					mu.Unlock()
				}
			}
		})
	}
	return func() []answered { running.Wait(); return all }
}

func (f *fleet) testRouteMoves(t *testing.T) {
	moved := platformtest.NewEngine("i-moved-1")
	f.t.Cleanup(moved.Close)
	f.moved = moved
	f.store.Put("servers", moved.ID, moved.Entry("apps-2", zones[0], "ready"))
	next := f.config.Clone(5)
	next.Services = append(next.Services, map[string]any{"name": "apps-2", "connection_limit": 100})
	next.Routes[3]["service"] = "apps-2"
	stop := make(chan struct{})
	failed := f.load(appsHost, "/charge/m", nil, stop)
	require.Eventually(t, func() bool { return len(f.apps[0].Runs()) > 20 }, 20*time.Second, 5*time.Millisecond)
	f.store.Put("config", "main", next)
	require.Eventually(t, func() bool { return len(moved.Runs()) > 40 }, 20*time.Second, 5*time.Millisecond)
	// An older version that turns up late changes nothing.
	f.store.Put("config", "main", f.config)
	before := len(f.apps[0].Runs()) + len(f.apps[1].Runs())
	count := len(moved.Runs())
	require.Eventually(t, func() bool { return len(moved.Runs()) > count+40 }, 20*time.Second, 5*time.Millisecond)
	require.Equal(t, before, len(f.apps[0].Runs())+len(f.apps[1].Runs()))
	close(stop)
	require.Empty(t, failed())
	f.config = next
}

func (f *fleet) testLostDisk(t *testing.T) {
	program := f.newID()
	first := f.turn(f.gateways[0], turnRequest{path: "/chat/t", program: program, budget: 9000, most: 50, body: "kept|"})
	require.Equal(t, http.StatusOK, first.status)
	for _, lost := range f.replicas {
		f.kill(lost)
		require.NoError(t, os.RemoveAll(filepath.Join(lost.data, "ledger")))
		f.start(lost)
		// The machine votes again once it is a voter under its new disk.
		require.Eventually(t, func() bool { return f.voterOnNewDisk(lost) }, time.Minute, 50*time.Millisecond)
		require.Eventually(t, func() bool { return f.holds(lost, first.id) }, time.Minute, 50*time.Millisecond)
	}
	next := f.turn(f.gateways[1], turnRequest{path: "/chat/t", program: program, previous: first.id, budget: 9000, most: 50, body: "on|"})
	require.Equal(t, http.StatusOK, next.status, next.body)
	require.Equal(t, "kept|"+f.engines[0].EventData(first.id)+"on|", runsOf(next.id, f.engines)[0].Body)
}

// voterOnNewDisk reports whether the replica's last start ended in the replica set.
func (f *fleet) voterOnNewDisk(m *member) bool {
	log := m.log.String()
	last := log[strings.LastIndex(log, `"event":"start"`):]
	return strings.Contains(last, `"voter":true`)
}

// holds reports whether the replica's log on disk names the turn.
func (f *fleet) holds(m *member, id string) bool {
	files, _ := filepath.Glob(filepath.Join(m.data, "ledger", "*.log"))
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
	first := f.turn(f.gateways[0], turnRequest{path: "/chat/t", program: program, budget: 100, most: 50, body: "kept|"})
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
	next := f.turn(f.gateways[1], turnRequest{path: "/chat/t", program: program, previous: first.id, budget: 100, most: 50, body: "on|"})
	require.Equal(t, http.StatusOK, next.status, next.body)
	require.Equal(t, "kept|"+f.engines[0].EventData(first.id)+"on|", runsOf(next.id, f.engines)[0].Body)
	// 40 + 40 of 100 are spent: what was counted before the loss still counts.
	refused := f.turn(f.gateways[0], turnRequest{path: "/chat/t", program: program, previous: next.id, budget: 100, most: 50, body: "x"})
	require.Equal(t, http.StatusPaymentRequired, refused.status)
}

func (f *fleet) testPlannedStop(t *testing.T) {
	for _, engine := range f.engines {
		engine.EventInterval = 200 * time.Millisecond
		defer func() { engine.EventInterval = 0 }()
	}
	results := make(chan answered, 1)
	id := f.newID()
	go func() {
		results <- exchange(f.gateways[0], id, agentHost, "/plan/t", http.Header{"X-Token-Count": {"10,50"}}, "x")
	}()
	require.Eventually(t, func() bool { return len(runsOf(id, f.engines)) == 1 }, 10*time.Second, 5*time.Millisecond)
	require.NoError(t, f.gateways[0].command.Process.Signal(syscall.SIGTERM))
	require.Eventually(t, func() bool { return status("http://"+f.gateways[0].ready+"/readiness") != http.StatusOK }, 10*time.Second, 5*time.Millisecond)
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
	require.NotEqual(t, http.StatusOK, status("http://"+f.gateways[0].ready+"/readiness"))
	// The gateway that was there before goes on.
	other := f.turn(f.gateways[1], turnRequest{path: "/chat/t", program: f.newID(), budget: 500, most: 50, body: "x"})
	require.Equal(t, http.StatusOK, other.status, other.body)
	f.store.SetFault(nil)
	f.awaitReady(f.gateways[0])
}

// testStartFromCopy takes all processes and the store away at once: what starts then
// serves from the replicas' copies, and follows the store when it is back.
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
	require.Equal(t, http.StatusServiceUnavailable, unknown.status, "a copy may lack the newest routes")
	f.store.SetFault(nil)
	require.Eventually(t, func() bool {
		return f.post(f.gateways[0], appsHost, "/nowhere/", nil, "x").status == http.StatusNotFound
	}, time.Minute, 50*time.Millisecond, "the store's own word counts again")
}

// seedGateways gives the gateways the replicas' copies to start from.
func (f *fleet) seedGateways() {
	seeds := "seeds:\n"
	for _, replica := range f.replicas {
		seeds += "  - " + replica.copies + "\n"
	}
	for _, gateway := range f.gateways {
		content, err := os.ReadFile(gateway.settings)
		require.NoError(f.t, err)
		gateway.settings = f.write(gateway.name, string(content)+seeds)
	}
}

// testStopUnderLoad keeps connections busy while the gateway stops: whatever an
// instance ran has an answer.
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
				if !f.kept(client, id) {
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
		require.Empty(t, f.runsOfApps(id), "request %s ran and got no answer", id)
	}
	f.start(f.gateways[0])
	f.awaitReady(f.gateways[0])
}

// kept sends a call over the client's kept connection.
func (f *fleet) kept(client *http.Client, id string) bool {
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

// calledApps are the instances that calls may have gone to, moved routes included.
func (f *fleet) calledApps() []*platformtest.Engine {
	if f.moved == nil {
		return f.apps
	}
	return append([]*platformtest.Engine{f.moved}, f.apps...)
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
	first := f.turn(f.gateways[0], turnRequest{path: "/chat/t", program: program, budget: 9000, most: 50, body: "kept|"})
	require.Equal(t, http.StatusOK, first.status, first.body)
	stop := make(chan struct{})
	failed := f.load(agentHost, "/chat/load", http.Header{"X-Token-Count": {"10,50"}}, stop)
	leaving := f.replicas[2]
	f.store.Put("retirements", leaving.name, map[string]any{"duration_s": 10})
	require.Eventually(t, func() bool {
		object, _ := f.store.Get("retirements", leaving.name)
		return strings.Contains(string(object.Status), "completed")
	}, time.Minute, 20*time.Millisecond)
	f.kill(leaving)
	close(stop)
	require.Empty(t, failed())
	next := f.turn(f.gateways[1], turnRequest{path: "/chat/t", program: program, previous: first.id, budget: 9000, most: 50, body: "on|"})
	require.Equal(t, http.StatusOK, next.status, next.body)
}

// testNoInstance has every engine refuse: the turn ends in one refusal that says
// when to come back, after a bounded number of sends.
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

// testSilent has one instance take requests and say nothing: safe calls end at the
// other one, unsafe ones stay.
func (f *fleet) testSilent(t *testing.T) {
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
