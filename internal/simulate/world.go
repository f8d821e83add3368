package simulate

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"swiftbank.dev/swiftbank/internal/topology"
)

const (
	// faultsBegin is when the first fault may come.
	faultsBegin = 20 * time.Second
	// quietTime is the time without faults at the end, in which everything heals.
	quietTime = 90 * time.Second
	// arrivalsEnd is how long before the end the last program begins.
	arrivalsEnd = 60 * time.Second
	// runOutTime bounds the wait for the last programs.
	runOutTime = time.Hour
	// keptEvents is how many events are kept, and reportedEvents how many of them
	// are given with a violation.
	keptEvents     = 2000
	reportedEvents = 12
)

// world is one run.
type world struct {
	options    Options
	deployment deployment
	start      time.Time
	now        time.Time
	end        time.Time
	queue      eventQueue

	// Each part draws from a stream of its own, so that a change in one does not
	// shift the others.
	networkRandom  *rand.Rand
	faultRandom    *rand.Rand
	workloadRandom *rand.Rand
	callerRandom   *rand.Rand

	layout    *topology.Topology
	nodes     map[string]*simNode
	nodeNames []string
	network   *network
	backEnds  *backEnds
	store     *simStore
	callers   *callers
	checker   *checker
	faults    *faultInjector
	recovery  *recoveryWatch
	spread    *spreadWatch
	control   controlCost

	// recorded collects the programs and faults of the run.
	recorded Trace

	digest *xxhash.Digest
	// recent are the newest events, for the report of a violation.
	recent []string
	events uint64
}

// event is something that happens at a time.
type event struct {
	at    time.Time
	order uint64
	run   func()
}

type eventQueue struct {
	entries []event
	next    uint64
}

func (q *eventQueue) Len() int { return len(q.entries) }
func (q *eventQueue) Less(i, j int) bool {
	if q.entries[i].at.Equal(q.entries[j].at) {
		return q.entries[i].order < q.entries[j].order
	}
	return q.entries[i].at.Before(q.entries[j].at)
}
func (q *eventQueue) Swap(i, j int) { q.entries[i], q.entries[j] = q.entries[j], q.entries[i] }
func (q *eventQueue) Push(x any)    { q.entries = append(q.entries, x.(event)) }
func (q *eventQueue) Pop() any {
	last := q.entries[len(q.entries)-1]
	q.entries = q.entries[:len(q.entries)-1]
	return last
}

func stream(seed, part uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, part)) }

func newWorld(options Options) (*world, error) {
	shape, err := deploymentFor(options)
	if err != nil {
		return nil, err
	}
	start := time.Unix(1_800_000_000, 0)
	w := &world{
		options: options, deployment: shape, start: start, now: start, end: start.Add(options.Duration),
		networkRandom: stream(options.Seed, 1), faultRandom: stream(options.Seed, 2),
		workloadRandom: stream(options.Seed, 3), callerRandom: stream(options.Seed, 4),
		nodes: map[string]*simNode{}, digest: xxhash.New(),
	}
	if options.RunOut {
		w.end = w.end.Add(runOutTime)
	}
	w.checker = newChecker(w)
	w.network = newNetwork(w)
	w.store = newSimStore(w)
	w.backEnds = newBackEnds(w)
	w.callers = newCallers(w)
	w.recovery = newRecoveryWatch(w)
	w.spread = newSpreadWatch(w)
	w.faults = newFaultInjector(w)
	if err := w.store.applyInitial(); err != nil {
		return nil, err
	}
	if err := w.addNodes(); err != nil {
		return nil, err
	}
	if options.Trace != nil {
		return w, options.Trace.check(w)
	}
	return w, nil
}

func (w *world) addNodes() error {
	var list []topology.Node
	for i := range w.deployment.nodes {
		list = append(list, topology.Node{
			ID: fmt.Sprintf("node-%03d", i+1), Zone: w.deployment.zones[i%len(w.deployment.zones)], Address: "0.0.0.0:0",
		})
	}
	layout, err := topology.New(list, w.deployment.shardsPerCell)
	if err != nil {
		return fmt.Errorf("simulate: %w", err)
	}
	w.layout = layout
	for _, node := range list {
		w.nodeNames = append(w.nodeNames, node.ID)
		w.nodes[node.ID] = &simNode{world: w, id: node.ID, zone: node.Zone, skewAt: w.start}
	}
	for _, name := range w.nodeNames {
		w.nodes[name].boot()
	}
	return nil
}

// after schedules something.
func (w *world) after(delay time.Duration, run func()) {
	w.queue.next++
	heap.Push(&w.queue, event{at: w.now.Add(delay), order: w.queue.next, run: run})
}

// every repeats something until the end.
func (w *world) every(interval time.Duration, run func()) {
	w.after(interval, func() {
		run()
		w.every(interval, run)
	})
}

// elapsed returns the time since the start.
func (w *world) elapsed() time.Duration { return w.now.Sub(w.start) }

// note adds an event to the digest.
func (w *world) note(kind string, detail string) {
	w.events++
	line := fmt.Sprintf("%.9f %s %s", w.elapsed().Seconds(), kind, detail)
	_, _ = w.digest.WriteString(line)
	if len(w.recent) == 2*keptEvents {
		w.recent = append(w.recent[:0], w.recent[keptEvents:]...)
	}
	w.recent = append(w.recent, line)
	if w.options.Events != nil {
		fmt.Fprintln(w.options.Events, line)
	}
}

// eventsAbout returns the newest events that mention a subject, the oldest first.
func (w *world) eventsAbout(subject string) []string {
	var list []string
	for _, line := range w.recent {
		if strings.Contains(line, subject) {
			list = append(list, line)
		}
	}
	return list[max(0, len(list)-reportedEvents):]
}

// run plays the whole time.
func (w *world) run() {
	w.callers.begin()
	w.faults.begin()
	w.checker.begin()
	w.recovery.begin()
	w.spread.begin()
	for w.queue.Len() > 0 && !w.queue.entries[0].at.After(w.end) && !w.ranOut() {
		next := heap.Pop(&w.queue).(event)
		w.now = next.at
		next.run()
	}
	if !w.ranOut() {
		w.now = w.end
	}
	w.checker.finish()
}

// faultsOver reports whether no new fault may come, so that all can heal.
func (w *world) faultsOver() bool { return w.elapsed() > w.options.Duration-quietTime }

// ranOut reports whether all programs of a run that waits for them have ended.
func (w *world) ranOut() bool {
	return w.options.RunOut && w.elapsed() > w.options.Duration && w.callers.running == 0
}

// Run plays one run and reports.
func Run(options Options) (*Report, error) {
	w, err := newWorld(options)
	if err != nil {
		return nil, err
	}
	w.run()
	return w.report(), nil
}
