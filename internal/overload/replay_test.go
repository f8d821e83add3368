package overload_test

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/admission"
	"swiftbank.dev/swiftbank/internal/backend"
	"swiftbank.dev/swiftbank/internal/overload"
)

const (
	// networkDelay is the one-way delay between gateway and instance; reportInterval is how often
	// gateways exchange load reports.
	networkDelay   = time.Millisecond
	reportInterval = 50 * time.Millisecond
	// maxSendsPerPoll is how many instances one poll tries.
	maxSendsPerPoll = 3
)

// load is a recorded load pattern.
type load struct {
	Gateways, Instances, Slots, Queue int
	Zones                             int
	Seconds                           float64
	// Contention is the relative slowdown of a request that starts on an instance whose other slots
	// are all busy.
	Contention float64
	// Reports describes the faults of program reports.
	Reports reportFaults
	// Watch is called at the start; may be nil.
	Watch    func(*simulation) `json:"-"`
	Kinds    map[string]kind
	Arrivals []arrivals
	Changes  []change
	// About describes the load, Expect the required outcomes by kind.
	About  string
	Expect map[string]expectation
}

// expectation bounds the outcomes of the callers of one kind: InTime is a minimum, all others are
// maxima. HeldMS is the total time for which refused callers waited.
type expectation struct {
	InTime                                    int
	Late, Refused, Failed, FailedAsks, HeldMS int
}

// kind is a kind of request: a program of several turns, or a single request.
type kind struct {
	// Calls marks single requests that count as later requests of programs.
	Calls bool
	Turns int
	// Widths is how many concurrent requests each turn consists of; 1 if unset.
	Widths              []int
	WorkMS, ObjectiveMS float64
	DeadlineMS          float64
	Rank, TenantRank    int
	Retries             int
}

type arrivals struct {
	Kind               string
	FromMS, ToMS, PerS float64
	// Zone restricts the arrivals to the gateways of one zone, counted from 1; 0 means all.
	Zone int
}

// change sets the state of instances [First, First+Count): up, down, failing (every request fails
// at once) or losing (the given fraction of answers is lost).
type change struct {
	AtMS         float64
	First, Count int
	State        string
	Share        float64
}

// outcome counts what happened to the callers of one kind.
type outcome struct {
	InTime, Late, RefusedFirst, RefusedAgain, Failed int
	WastedWait                                       time.Duration
	Sends, FailedSends                               int
	// CompletedAt holds the times from the start of the load at which programs completed in time.
	CompletedAt []time.Duration
}

// waitPolicy decides about requests that no instance accepted, at one gateway.
type waitPolicy interface {
	decide(now time.Time, arrived time.Time, request overload.Request, capacity overload.Capacity) (pause, retryAfter time.Duration)
	accepted(now time.Time, id string)
	removed(id string)
}

type event struct {
	at    time.Time
	order int
	run   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type simulation struct {
	load      load
	startedAt time.Time
	random    *rand.Rand
	now       time.Time
	events    events
	scheduled int
	gateways  []*gatewayModel
	instances []*instanceModel
	outcomes  map[string]*outcome
	requests  int
	programs  int
}

type gatewayModel struct {
	directory *backend.Directory
	policy    waitPolicy
}

// call is a caller's request over all its attempts.
type call struct {
	kind      string
	program   string
	spec      kind
	zone      int
	startedAt time.Time
	deadline  time.Time
	first     bool
	work      time.Duration
	attempts  int
	refusals  int
	// admission is the last admission decision for its program.
	admission admission.Decision
	end       func(ok bool)
}

func readLoad(t *testing.T, name string) load {
	data, err := os.ReadFile(filepath.Join("..", "..", "testdata", "load", name+".json"))
	require.NoError(t, err)
	var pattern load
	require.NoError(t, json.Unmarshal(data, &pattern))
	return pattern
}

// replay replays a load, with a policy for each gateway, and returns the outcomes.
func replay(pattern load, seed uint64, newPolicy func() waitPolicy) map[string]*outcome {
	r := &simulation{load: pattern, random: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(1000, 0), outcomes: map[string]*outcome{}}
	start := r.now
	r.startedAt = start
	var listed []backend.Instance
	for i := range pattern.Instances {
		id := fmt.Sprintf("i%02d", i)
		r.instances = append(r.instances, &instanceModel{id: id, state: "up"})
		listed = append(listed, backend.Instance{ID: id, Service: "s", Zone: fmt.Sprint(i % pattern.Zones), Slots: pattern.Slots})
	}
	for i := range pattern.Gateways {
		directory := backend.NewDirectory(fmt.Sprint(i % pattern.Zones))
		directory.SetSeed(fmt.Sprint("g", i))
		directory.ApplyChanges(start, backend.Changes{Snapshot: true, Listed: listed}, false)
		r.gateways = append(r.gateways, &gatewayModel{directory: directory, policy: newPolicy()})
	}
	for _, c := range pattern.Changes {
		r.schedule(milliseconds(c.AtMS), func() { r.apply(c) })
	}
	for _, phase := range pattern.Arrivals {
		gap := 1000 / phase.PerS
		for at := phase.FromMS; at < phase.ToMS; at += gap * r.random.ExpFloat64() {
			r.schedule(milliseconds(at), func() { r.arrive(phase.Kind, phase.Zone) })
		}
	}
	r.schedule(reportInterval, r.report)
	r.startProgramReports(newPolicy)
	end := start.Add(time.Duration(pattern.Seconds * float64(time.Second)))
	for len(r.events) > 0 && r.now.Before(end) {
		next := heap.Pop(&r.events).(event)
		r.now = next.at
		next.run()
	}
	return r.outcomes
}

func milliseconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Millisecond))
}

func (r *simulation) schedule(wait time.Duration, run func()) {
	r.scheduled++
	heap.Push(&r.events, event{at: r.now.Add(wait), order: r.scheduled, run: run})
}

func (r *simulation) report() {
	for i, gateway := range r.gateways {
		loads := gateway.directory.Loads(r.now)
		for j, other := range r.gateways {
			if i != j {
				other.directory.SetRemoteLoads(r.now, backend.LoadSource{Gateway: fmt.Sprint(i)}, loads)
			}
		}
	}
	r.schedule(reportInterval, r.report)
}

func (r *simulation) apply(c change) {
	for i := c.First; i < c.First+c.Count; i++ {
		instance := r.instances[i]
		instance.state, instance.share = c.State, c.Share
		if c.State != "down" {
			continue
		}
		for _, waiting := range instance.queue {
			waiting.done(backend.Unreachable, true)
		}
		instance.queue = nil
	}
}

func (r *simulation) outcomeOf(kind string) *outcome {
	result := r.outcomes[kind]
	if result == nil {
		result = &outcome{}
		r.outcomes[kind] = result
	}
	return result
}

// arrive starts a program or a single request.
func (r *simulation) arrive(name string, zone int) {
	spec := r.load.Kinds[name]
	startedAt := r.now
	turns := max(1, spec.Turns)
	r.programs++
	program := fmt.Sprint("p", r.programs)
	var turn func(done int)
	turn = func(done int) {
		if done == turns {
			if r.now.Sub(startedAt) <= milliseconds(spec.ObjectiveMS) {
				r.outcomeOf(name).InTime++
				r.outcomeOf(name).CompletedAt = append(r.outcomeOf(name).CompletedAt, r.now.Sub(r.startedAt))
			} else {
				r.outcomeOf(name).Late++
			}
			return
		}
		pending, lost := spec.width(done), false
		end := func(c *call, ok bool) {
			pending--
			switch {
			case ok && pending == 0 && !lost:
				turn(done + 1)
			case ok || lost:
			case c.refusals == 0:
				r.outcomeOf(name).Failed++
			case c.refusals == 1:
				r.outcomeOf(name).RefusedFirst++
			default:
				r.outcomeOf(name).RefusedAgain++
			}
			lost = lost || !ok
		}
		for range spec.width(done) {
			c := &call{kind: name, program: program, spec: spec, zone: zone, startedAt: r.now, deadline: r.now.Add(milliseconds(spec.DeadlineMS))}
			c.first = spec.Turns > 0 && done == 0
			c.work = milliseconds(spec.WorkMS * math.Exp(0.5*r.random.NormFloat64()-0.125))
			c.end = func(ok bool) { end(c, ok) }
			r.attempt(c)
		}
	}
	turn(0)
}

// attempt sends the request to a random gateway.
func (r *simulation) attempt(c *call) {
	c.attempts++
	r.requests++
	id := fmt.Sprint("r", r.requests)
	number := r.random.IntN(len(r.gateways))
	if c.zone > 0 {
		number -= number%r.load.Zones - (c.zone - 1)
	}
	gateway := r.gateways[number]
	r.poll(c, gateway, id, r.now)
}

// poll sends the request to instances in sequence until one accepts it or the limit is reached.
func (r *simulation) poll(c *call, gateway *gatewayModel, id string, arrived time.Time) {
	if !r.admitted(c, gateway, id) {
		r.wait(c, gateway, id, arrived)
		return
	}
	demand := backend.Demand{Service: "s"}
	var next func(asked int)
	next = func(sent int) {
		if !r.now.Before(c.deadline) {
			gateway.policy.removed(id)
			r.outcomeOf(c.kind).WastedWait += r.now.Sub(arrived)
			c.end(false)
			return
		}
		choice, found := gateway.directory.Pick(r.now, demand)
		if sent >= maxSendsPerPoll || !found {
			if found {
				gateway.directory.End(r.now, choice, backend.Full)
			}
			r.wait(c, gateway, id, arrived)
			return
		}
		r.send(c, choice, func(result backend.Outcome, ran bool) {
			if result == backend.Failed || result == backend.Unreachable {
				gateway.directory.EndFailed(r.now, choice, result)
			} else {
				gateway.directory.End(r.now, choice, result)
			}
			switch {
			case result == backend.Answered:
				gateway.directory.Observe(r.now, choice, backend.Observation{
					Kind: c.kind, Duration: r.now.Sub(choice.PickedAt), TimeToFirstEvent: r.now.Sub(choice.PickedAt), Events: 1,
				})
				gateway.policy.accepted(r.now, id)
				gateway.turnCompleted(r.now, c, choice)
				c.end(true)
			case ran:
				gateway.policy.removed(id)
				r.retry(c, 100*time.Millisecond)
			default:
				demand.Exclude = append(demand.Exclude, choice.Instance.ID)
				next(sent + 1)
			}
		})
	}
	next(0)
}

func (r *simulation) admitted(c *call, gateway *gatewayModel, id string) bool {
	policy, isQueuePolicy := gateway.policy.(*queuePolicy)
	request, capacity := r.overloadInputs(c, gateway, id)
	return !isQueuePolicy || policy.queue.Admits(request, capacity) && r.mayStart(c, policy, id, capacity)
}

func (r *simulation) overloadInputs(c *call, gateway *gatewayModel, id string) (overload.Request, overload.Capacity) {
	capacity := gateway.directory.Capacity(r.now, "s")
	return overload.Request{
		ID: id, FirstOfProgram: c.first, LaterOfProgram: c.spec.Calls || c.spec.Turns > 0 && !c.first, RouteRank: c.spec.Rank, TenantRank: c.spec.TenantRank, Deadline: c.deadline,
		StartBy: c.startedAt.Add(milliseconds(2.5 * c.spec.WorkMS)), LatencyObjective: milliseconds(2.5 * c.spec.WorkMS),
	}, overload.Capacity{Slots: capacity.Slots, Busy: capacity.Busy, Usual: capacity.Usual, RecentFirst: capacity.RecentFirst}
}

func (r *simulation) wait(c *call, gateway *gatewayModel, id string, arrived time.Time) {
	request, capacity := r.overloadInputs(c, gateway, id)
	pause, retryAfter, held := c.held()
	if !held {
		pause, retryAfter = gateway.policy.decide(r.now, arrived, request, capacity)
	}
	if pause > 0 {
		r.schedule(pause, func() { r.poll(c, gateway, id, arrived) })
		return
	}
	r.outcomeOf(c.kind).WastedWait += r.now.Sub(arrived)
	c.refusals++
	r.retry(c, retryAfter)
}

// retry makes another attempt if the caller has attempts and time left.
func (r *simulation) retry(c *call, delay time.Duration) {
	delay = min(delay, c.deadline.Sub(r.now)/3)
	if c.attempts > c.spec.Retries || delay <= 0 {
		c.end(false)
		return
	}
	r.schedule(delay, func() { r.attempt(c) })
}
