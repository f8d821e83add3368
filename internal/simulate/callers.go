package simulate

import (
	"fmt"
	"math/rand/v2"
	"time"

	"swiftbank.dev/swiftbank/internal/enginemodel"
	"swiftbank.dev/swiftbank/internal/shard"
	"swiftbank.dev/swiftbank/internal/workload"
)

const (
	// tryTimeout is how long a caller waits before it asks another node.
	tryTimeout = 20 * time.Second
	// reconnectDelay is how long a caller waits after a cut or refused connection.
	reconnectDelay = 50 * time.Millisecond
	// leastRetry is the least wait after a refusal.
	leastRetry = 100 * time.Millisecond
	// callerTimeout is how long a caller goes on asking for one call.
	callerTimeout = 3 * time.Minute
	// hurriedShare is the chance that a call has a deadline, of hurriedDeadline.
	hurriedShare    = 0.05
	hurriedDeadline = 15 * time.Second
	// questionShare is the chance that a caller asks for an old answer again.
	questionShare = 0.3
)

// callSpec is what the engine model needs to know of a call.
type callSpec struct {
	system int64
	output int64
}

// programRun is one program in progress.
type programRun struct {
	callers *callers
	spec    workload.Program
	tenant  string
	session string
	parent  string
	step    int
	next    uint64
	began   time.Time
	// bound is the least time the program could take.
	bound   time.Duration
	context int64
	done    func(failed bool)
}

// callRun is one call that a program is waiting for.
type callRun struct {
	run       *programRun
	request   shard.Request
	began     time.Time
	issued    int
	firstAt   time.Time
	finished  bool
	openTries int
	// hurried calls come with a deadline.
	hurried bool
	// idle is how long the call takes on an idle engine.
	idle time.Duration
}

// try is one connection with a call.
type try struct {
	call    *callRun
	node    *simNode
	settled bool
	request uint64
}

// callers are all programs.
type callers struct {
	world   *world
	specs   map[shard.CallID]callSpec
	active  map[shard.CallID]*callRun
	names   int
	running int
	// held is how much of each session's prompt some engine has computed.
	held  map[shard.SessionKey]int64
	stats callerStats
	rate  float64
}

func newCallers(w *world) *callers {
	return &callers{
		world: w, specs: map[shard.CallID]callSpec{}, active: map[shard.CallID]*callRun{},
		held: map[shard.SessionKey]int64{}, stats: callerStats{outcomes: map[string]string{}, unrepeatable: map[string]bool{}},
	}
}

func (c *callers) specOf(id shard.CallID) callSpec { return c.specs[id] }

// begin starts the arrivals of programs.
func (c *callers) begin() {
	if trace := c.world.options.Trace; trace != nil {
		for _, recorded := range trace.Programs {
			c.world.after(recorded.At, func() { c.startTop(recorded.Shape, recorded.Tenant) })
		}
		return
	}
	c.rate = c.world.options.Load * float64(c.world.deployment.engines) / meanEngineSeconds(&c.world.deployment.profile)
	c.world.after(settleTime, c.arrive)
}

// settleTime is left to the nodes to form their cell.
const settleTime = 6 * time.Second

func (c *callers) arrive() {
	w := c.world
	lastArrival := w.start.Add(w.options.Duration)
	if !w.options.RunOut {
		lastArrival = lastArrival.Add(-arrivalsEnd)
	}
	if w.now.After(lastArrival) || (w.options.Programs > 0 && c.names >= w.options.Programs) {
		return
	}
	drawn := w.deployment.profile.Draw(w.workloadRandom)
	tenant := w.deployment.tenantName(w.workloadRandom.IntN(w.deployment.tenants))
	w.recorded.Programs = append(w.recorded.Programs, TimedProgram{At: w.elapsed(), Tenant: tenant, Shape: drawn})
	c.startTop(drawn, tenant)
	w.after(time.Duration(w.workloadRandom.ExpFloat64()/c.rate*float64(time.Second)), c.arrive)
}

// meanEngineSeconds is the engine time of an average program with every prefix
// cached, from a fixed sample.
func meanEngineSeconds(profile *workload.Profile) float64 {
	const sample = 400
	random := rand.New(rand.NewPCG(99, 1))
	total := 0.0
	for range sample {
		drawn := profile.Draw(random)
		total += engineSeconds(&drawn)
	}
	return total / sample
}

func engineSeconds(p *workload.Program) float64 {
	total := 0.0
	context := p.SystemTokens
	for i := range p.Steps {
		step := &p.Steps[i]
		for branch := range step.Branches {
			total += engineSeconds(&step.Branches[branch])
		}
		if step.Kind == shard.EngineCall {
			total += enginemodel.SharedSeconds(step.NewTokens, context+step.NewTokens, step.OutputTokens)
			context += step.NewTokens + step.OutputTokens
		}
	}
	return total
}

// startTop starts a program that no other began.
func (c *callers) startTop(spec workload.Program, tenant string) {
	c.names++
	c.startProgram(spec, tenant, fmt.Sprintf("program-%05d", c.names), "", func(bool) {})
}

func (c *callers) startProgram(spec workload.Program, tenant, name, parent string, done func(failed bool)) *programRun {
	c.running++
	c.stats.programs++
	run := &programRun{callers: c, spec: spec, tenant: tenant, session: name, parent: parent, began: c.world.now, done: done}
	c.world.note("program", name)
	run.nextStep()
	return run
}

// nextStep goes on with the program after its pause.
func (r *programRun) nextStep() {
	if r.step >= len(r.spec.Steps) {
		r.finish(false)
		return
	}
	step := &r.spec.Steps[r.step]
	r.bound += step.Pause
	r.callers.world.after(step.Pause, func() { r.runStep(step) })
}

func (r *programRun) runStep(step *workload.Step) {
	r.step++
	if len(step.Branches) > 0 {
		r.runBranches(step)
		return
	}
	r.next++
	request := shard.Request{
		ID:      shard.CallID{Key: shard.SessionKey{Tenant: r.tenant, Session: r.session}, Sequence: r.next},
		Program: r.session, ParentProgram: r.parent, Template: r.spec.Template,
		IdempotencyKey: fmt.Sprintf("%s-%d", r.session, r.next), Kind: step.Kind, Service: step.Service,
		Unrepeatable: step.Unrepeatable, Body: []byte("{}"),
	}
	call := &callRun{run: r, began: r.callers.world.now, hurried: r.callers.drawHurry()}
	if step.Kind == shard.EngineCall {
		call.idle = r.priceEngineStep(step, &request)
	}
	call.request = request
	r.callers.active[request.ID] = call
	r.callers.stats.issued++
	call.ask()
}

// drawHurry decides whether a call has a deadline; only runs with faults have such.
func (c *callers) drawHurry() bool {
	return len(c.world.options.Faults) > 0 && c.world.callerRandom.Float64() < hurriedShare
}

// priceEngineStep sets the lengths of an engine call and returns how long it takes
// on an idle engine.
func (r *programRun) priceEngineStep(step *workload.Step, request *shard.Request) time.Duration {
	spec := callSpec{output: step.OutputTokens}
	if r.context == 0 {
		spec.system = r.spec.SystemTokens
	}
	r.callers.specs[request.ID] = spec
	request.BodyTokens = step.NewTokens + spec.system
	request.MaxTokens = step.OutputTokens
	r.context += request.BodyTokens
	idle := enginemodel.IdleTime(step.NewTokens, r.context, step.OutputTokens)
	r.bound += idle
	r.context += step.OutputTokens
	return idle
}

// runBranches runs sub-agents side by side and goes on when the last has ended.
func (r *programRun) runBranches(step *workload.Step) {
	left := len(step.Branches)
	longest := time.Duration(0)
	anyFailed := false
	for place, branch := range step.Branches {
		var child *programRun
		name := fmt.Sprintf("%s.%d.%d", r.session, r.step, place+1)
		child = r.callers.startProgram(branch, r.tenant, name, r.session, func(failed bool) {
			left--
			anyFailed = anyFailed || failed
			if child != nil {
				longest = max(longest, child.bound)
			}
			if left > 0 {
				return
			}
			r.bound += longest
			if anyFailed {
				r.finish(true)
				return
			}
			r.nextStep()
		})
	}
}

// finish ends the program and its session.
func (r *programRun) finish(failed bool) {
	c := r.callers
	c.running--
	if failed {
		c.stats.failedPrograms++
	} else if r.parent == "" {
		c.stats.latencies = append(c.stats.latencies, programLatency{
			tenant: r.tenant, latency: c.world.now.Sub(r.began), bound: r.bound, began: r.began,
		})
	}
	c.stats.ended++
	c.world.note("ended", r.session)
	if r.next > 0 {
		key := shard.SessionKey{Tenant: r.tenant, Session: r.session}
		c.endSession(key)
		if !failed && c.world.callerRandom.Float64() < questionShare {
			c.askAgain(shard.CallID{Key: key, Sequence: 1 + c.world.callerRandom.Uint64N(r.next)})
		}
	}
	r.done(failed)
}

// anyNode picks a node that a balancer would pick: one that is up and ready.
func (c *callers) anyNode() *simNode {
	var ready []*simNode
	for _, name := range c.world.nodeNames {
		node := c.world.nodes[name]
		if node.alive && !node.stopping && c.world.now.Sub(node.bootedAt) > time.Second {
			ready = append(ready, node)
		}
	}
	if len(ready) == 0 {
		return nil
	}
	return ready[c.world.callerRandom.IntN(len(ready))]
}
