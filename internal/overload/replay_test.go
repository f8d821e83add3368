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
	// hop is the way between gateway and instance; reportEvery is how often gateways tell
	// each other of their load.
	hop         = time.Millisecond
	reportEvery = 50 * time.Millisecond
	// asksInARow is how many instances one look asks.
	asksInARow = 3
)

// load is one recorded load pattern.
type load struct {
	Gateways, Instances, Slots, Queue int
	Zones                             int
	Seconds                           float64
	// Contention is by how much longer a request takes that begins on an instance whose other
	// slots are busy, as a share of its own time.
	Contention float64
	// Reports says how those on programs arrive; see reportTrouble.
	Reports reportTrouble
	// Watch is called at the start; nil for none.
	Watch    func(*replayed) `json:"-"`
	Kinds    map[string]kind
	Arrivals []arrivals
	Changes  []change
	// About says which load this is, Expect what has to become of the callers by kind.
	About  string
	Expect map[string]expectation
}

// expectation bounds what becomes of the callers of one kind: how many are served in time at
// least; how many are late, refused or fail, how many sends fail, and for how long all those
// that were refused were held, at most.
type expectation struct {
	InTime                                    int
	Late, Refused, Failed, FailedAsks, HeldMS int
}

// kind is a kind of request: a program of some turns, or a single request.
type kind struct {
	// Calls says that these are single requests of programs that have begun.
	Calls bool
	Turns int
	// Widths is how many requests each turn makes at once; 1 where it is left out.
	Widths              []int
	WorkMS, ObjectiveMS float64
	DeadlineMS          float64
	Rank, TenantRank    int
	Retries             int
}

type arrivals struct {
	Kind               string
	FromMS, ToMS, PerS float64
	// Zone is the only zone, from 1 on, whose gateways get them; 0 means all.
	Zone int
}

// change puts instances [First, First+Count) into a state: up, down, failing (answers with a
// failure at once) or losing (loses the answers of a share of what it ran).
type change struct {
	AtMS         float64
	First, Count int
	State        string
	Share        float64
}

// outcome is what became of the callers of one kind.
type outcome struct {
	InTime, Late, RefusedFirst, RefusedAgain, Failed int
	HeldInVain                                       time.Duration
	Asks, FailedAsks                                 int
	// TimesInTime is when programs ended in time, after the load began.
	TimesInTime []time.Duration
}

// waitPolicy decides about a request that was not taken, at one gateway.
type waitPolicy interface {
	refused(now time.Time, arrived time.Time, request overload.Request, capacity overload.Capacity) (pause, retryAfter time.Duration)
	taken(now time.Time, id string)
	left(id string)
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

type replayed struct {
	load     load
	began    time.Time
	random   *rand.Rand
	now      time.Time
	events   events
	ordered  int
	gateways []*gatewayModel
	machines []*instanceModel
	outcomes map[string]*outcome
	next     int
	programs int
}

type gatewayModel struct {
	directory *backend.Directory
	policy    waitPolicy
}

// call is one caller's request over all its attempts.
type call struct {
	kind     string
	program  string
	spec     kind
	zone     int
	began    time.Time
	deadline time.Time
	first    bool
	work     time.Duration
	attempts int
	refusals int
	// admission is what was last decided about the beginning of its program.
	admission admission.Decision
	end       func(ok bool)
}

func readLoad(t *testing.T, name string) load {
	data, err := os.ReadFile(filepath.Join("..", "..", "testdata", "load", name+".json"))
	require.NoError(t, err)
	var read load
	require.NoError(t, json.Unmarshal(data, &read))
	return read
}

// replay plays a load with a policy for each gateway and returns what became of the callers.
func replay(played load, seed uint64, newPolicy func() waitPolicy) map[string]*outcome {
	r := &replayed{load: played, random: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(1000, 0), outcomes: map[string]*outcome{}}
	start := r.now
	r.began = start
	var listed []backend.Instance
	for i := range played.Instances {
		id := fmt.Sprintf("i%02d", i)
		r.machines = append(r.machines, &instanceModel{id: id, state: "up"})
		listed = append(listed, backend.Instance{ID: id, Service: "s", Zone: fmt.Sprint(i % played.Zones), Slots: played.Slots})
	}
	for i := range played.Gateways {
		directory := backend.NewDirectory(fmt.Sprint(i % played.Zones))
		directory.SetSeed(fmt.Sprint("g", i))
		directory.ApplyChanges(start, backend.Changes{Snapshot: true, Listed: listed}, false)
		r.gateways = append(r.gateways, &gatewayModel{directory: directory, policy: newPolicy()})
	}
	for _, changed := range played.Changes {
		r.after(milliseconds(changed.AtMS), func() { r.apply(changed) })
	}
	for _, wave := range played.Arrivals {
		gap := 1000 / wave.PerS
		for at := wave.FromMS; at < wave.ToMS; at += gap * r.random.ExpFloat64() {
			r.after(milliseconds(at), func() { r.arrive(wave.Kind, wave.Zone) })
		}
	}
	r.after(reportEvery, r.report)
	r.playPrograms(newPolicy)
	end := start.Add(time.Duration(played.Seconds * float64(time.Second)))
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

func (r *replayed) after(wait time.Duration, run func()) {
	r.ordered++
	heap.Push(&r.events, event{at: r.now.Add(wait), order: r.ordered, run: run})
}

func (r *replayed) report() {
	for i, gateway := range r.gateways {
		loads := gateway.directory.Loads(r.now)
		for j, other := range r.gateways {
			if i != j {
				other.directory.SetRemoteLoads(r.now, backend.LoadSource{Gateway: fmt.Sprint(i)}, loads)
			}
		}
	}
	r.after(reportEvery, r.report)
}

func (r *replayed) apply(changed change) {
	for i := changed.First; i < changed.First+changed.Count; i++ {
		machine := r.machines[i]
		machine.state, machine.share = changed.State, changed.Share
		if changed.State != "down" {
			continue
		}
		for _, waiting := range machine.queued {
			waiting.done(backend.Unreachable, true)
		}
		machine.queued = nil
	}
}

func (r *replayed) of(kind string) *outcome {
	known := r.outcomes[kind]
	if known == nil {
		known = &outcome{}
		r.outcomes[kind] = known
	}
	return known
}

// arrive starts a program or a single request.
func (r *replayed) arrive(name string, zone int) {
	spec := r.load.Kinds[name]
	began := r.now
	turns := max(1, spec.Turns)
	r.programs++
	program := fmt.Sprint("p", r.programs)
	var turn func(done int)
	turn = func(done int) {
		if done == turns {
			if r.now.Sub(began) <= milliseconds(spec.ObjectiveMS) {
				r.of(name).InTime++
				r.of(name).TimesInTime = append(r.of(name).TimesInTime, r.now.Sub(r.began))
			} else {
				r.of(name).Late++
			}
			return
		}
		open, lost := spec.width(done), false
		end := func(c *call, ok bool) {
			open--
			switch {
			case ok && open == 0 && !lost:
				turn(done + 1)
			case ok || lost:
			case c.refusals == 0:
				r.of(name).Failed++
			case c.refusals == 1:
				r.of(name).RefusedFirst++
			default:
				r.of(name).RefusedAgain++
			}
			lost = lost || !ok
		}
		for range spec.width(done) {
			c := &call{kind: name, program: program, spec: spec, zone: zone, began: r.now, deadline: r.now.Add(milliseconds(spec.DeadlineMS))}
			c.first = spec.Turns > 0 && done == 0
			c.work = milliseconds(spec.WorkMS * math.Exp(0.5*r.random.NormFloat64()-0.125))
			c.end = func(ok bool) { end(c, ok) }
			r.attempt(c)
		}
	}
	turn(0)
}

// attempt is one try of a caller at a gateway of its choice.
func (r *replayed) attempt(c *call) {
	c.attempts++
	r.next++
	id := fmt.Sprint("r", r.next)
	number := r.random.IntN(len(r.gateways))
	if c.zone > 0 {
		number -= number%r.load.Zones - (c.zone - 1)
	}
	gateway := r.gateways[number]
	r.look(c, gateway, id, r.now)
}

// look asks instances until one takes the request or enough have refused it.
func (r *replayed) look(c *call, gateway *gatewayModel, id string, arrived time.Time) {
	if !r.admitted(c, gateway, id) {
		r.wait(c, gateway, id, arrived)
		return
	}
	demand := backend.Demand{Service: "s"}
	var next func(asked int)
	next = func(asked int) {
		if !r.now.Before(c.deadline) {
			gateway.policy.left(id)
			r.of(c.kind).HeldInVain += r.now.Sub(arrived)
			c.end(false)
			return
		}
		choice, found := gateway.directory.Pick(r.now, demand)
		if asked >= asksInARow || !found {
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
				gateway.policy.taken(r.now, id)
				gateway.turnEnded(r.now, c, choice)
				c.end(true)
			case ran:
				gateway.policy.left(id)
				r.comeBack(c, 100*time.Millisecond)
			default:
				demand.Exclude = append(demand.Exclude, choice.Instance.ID)
				next(asked + 1)
			}
		})
	}
	next(0)
}

func (r *replayed) admitted(c *call, gateway *gatewayModel, id string) bool {
	policy, decides := gateway.policy.(*decided)
	request, capacity := r.asked(c, gateway, id)
	return !decides || policy.queue.Admits(request, capacity) && r.mayBegin(c, policy, id, capacity)
}

func (r *replayed) asked(c *call, gateway *gatewayModel, id string) (overload.Request, overload.Capacity) {
	believed := gateway.directory.Capacity(r.now, "s")
	return overload.Request{
		ID: id, FirstOfProgram: c.first, LaterOfProgram: c.spec.Calls || c.spec.Turns > 0 && !c.first, RouteRank: c.spec.Rank, TenantRank: c.spec.TenantRank, Deadline: c.deadline,
		StartBy: c.began.Add(milliseconds(2.5 * c.spec.WorkMS)), LatencyObjective: milliseconds(2.5 * c.spec.WorkMS),
	}, overload.Capacity{Slots: believed.Slots, Busy: believed.Busy, Usual: believed.Usual, RecentFirst: believed.RecentFirst}
}

func (r *replayed) wait(c *call, gateway *gatewayModel, id string, arrived time.Time) {
	request, capacity := r.asked(c, gateway, id)
	pause, retryAfter, held := c.held()
	if !held {
		pause, retryAfter = gateway.policy.refused(r.now, arrived, request, capacity)
	}
	if pause > 0 {
		r.after(pause, func() { r.look(c, gateway, id, arrived) })
		return
	}
	r.of(c.kind).HeldInVain += r.now.Sub(arrived)
	c.refusals++
	r.comeBack(c, retryAfter)
}

// comeBack tries once more if the caller has tries and time left.
func (r *replayed) comeBack(c *call, after time.Duration) {
	after = min(after, c.deadline.Sub(r.now)/3)
	if c.attempts > c.spec.Retries || after <= 0 {
		c.end(false)
		return
	}
	r.after(after, func() { r.attempt(c) })
}
