package overload_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/admission"
	"swiftbank.dev/swiftbank/internal/backend"
	"swiftbank.dev/swiftbank/internal/overload"
	"swiftbank.dev/swiftbank/internal/tally"
)

// reportTrouble is what goes wrong with the reports on programs.
type reportTrouble struct {
	// MostLateMS bounds by how much a report is late, evenly; Lost and Doubled are the shares of
	// reports that never come, or come twice.
	MostLateMS, Lost, Doubled float64
	// The first gateway reports nothing from SilentAtMS on, or starts again at RestartAtMS, or
	// all of them start again at RestartAllAtMS, where these are set.
	SilentAtMS, RestartAtMS, RestartAllAtMS float64
	// Recall has gateways that start anew go on with what was learned before.
	Recall bool
}

// reportsAtOnce is how many others a gateway reports to each time.
const reportsAtOnce = 2

// width returns how many requests a turn makes at once.
func (k kind) width(turn int) int {
	if turn < len(k.Widths) {
		return k.Widths[turn]
	}
	return 1
}

// playPrograms has the gateways report on programs.
func (r *replayed) playPrograms(newPolicy func() waitPolicy) {
	if r.load.Watch != nil {
		r.load.Watch(r)
	}
	if policy, decides := newPolicy().(*decided); !decides || policy.programs == nil {
		return
	}
	r.after(reportEvery, func() { r.reportPrograms(1) })
	if at := r.load.Reports.RestartAtMS; at > 0 {
		r.after(milliseconds(at), func() { r.gateways[0].policy = newPolicy() })
	}
	if at := r.load.Reports.RestartAllAtMS; at > 0 {
		r.after(milliseconds(at), func() {
			learned := r.learned()
			for _, gateway := range r.gateways {
				gateway.policy = newPolicy()
				gateway.policy.(*decided).programs.Restore(r.now, learned, keepEvery)
			}
		})
	}
}

// keepEvery is how old what was kept of the gateways' figures is at a start of all of them.
const keepEvery = 2 * time.Second

// learned returns what a gateway that starts anew is told.
func (r *replayed) learned() map[admission.Key]float64 {
	if !r.load.Reports.Recall {
		return nil
	}
	return r.gateways[0].policy.(*decided).programs.Snapshot(r.now)
}

func (r *replayed) reportPrograms(number int) {
	trouble := r.load.Reports
	for i, gateway := range r.gateways {
		if i == 0 && trouble.SilentAtMS > 0 && r.now.After(r.began.Add(milliseconds(trouble.SilentAtMS))) {
			continue
		}
		figures := gateway.policy.(*decided).programs.Figures(r.now)
		encoded, err := admission.Encode(figures)
		for told := range reportsAtOnce {
			other := r.gateways[(i+1+(number*reportsAtOnce+told)%(len(r.gateways)-1))%len(r.gateways)]
			copies := 1
			switch chance := r.random.Float64(); {
			case chance < trouble.Lost || err != nil:
				copies = 0
			case chance < trouble.Lost+trouble.Doubled:
				copies = 2
			}
			for range copies {
				r.after(milliseconds(trouble.MostLateMS*r.random.Float64()), func() {
					if said, err := admission.Decode(encoded); err == nil {
						other.policy.(*decided).programs.ReplaceReport(r.now, tally.Source{Gateway: fmt.Sprint(i)}, said)
					}
				})
			}
		}
	}
	r.after(reportEvery, func() { r.reportPrograms(number + 1) })
}

func (c *call) programKind() admission.Kind {
	return admission.Kind{Service: "s", Route: c.kind, Rank: c.spec.Rank}
}

// mayBegin reports whether the program of a first request may begin.
func (r *replayed) mayBegin(c *call, policy *decided, id string, capacity overload.Capacity) bool {
	if policy.programs == nil || !c.first || c.admission.Verdict == admission.Admit {
		return true
	}
	c.admission = policy.programs.Decide(r.now, admission.Request{
		ID: id, Kind: c.programKind(), HoldUntil: c.began.Add(milliseconds(2.5 * c.spec.WorkMS)), Deadline: c.deadline,
		TimeLeft: c.began.Add(milliseconds(c.spec.ObjectiveMS)).Sub(r.now),
	}, admission.Load{Slots: capacity.Slots, Busy: capacity.Busy})
	if c.admission.Verdict != admission.Admit {
		return false
	}
	policy.programs.ProgramStarted(r.now, admission.ProgramStart{
		Kind: c.programKind(), Program: c.program, Utilization: float64(capacity.Busy) / float64(max(1, capacity.Slots)),
		TimeLeft: c.began.Add(milliseconds(c.spec.ObjectiveMS)).Sub(r.now), RetryFree: c.admission.RetryFree,
	})
	return true
}

// held returns what the admission of programs says of a request that may not begin.
func (c *call) held() (pause, retryAfter time.Duration, held bool) {
	switch decision := c.admission; decision.Verdict {
	case admission.Hold:
		return decision.RetryAfter, 0, true
	case admission.Refuse:
		c.admission = admission.Decision{}
		return 0, decision.RetryAfter, true
	default:
		return 0, 0, false
	}
}

func (g *gatewayModel) turnEnded(now time.Time, c *call, choice backend.Choice) {
	policy, decides := g.policy.(*decided)
	if !decides || policy.programs == nil || c.spec.Turns == 0 {
		return
	}
	capacity := g.directory.Capacity(now, "s")
	policy.programs.TurnCompleted(now, admission.Turn{
		Kind: c.programKind(), Program: c.program, First: c.first, SlotTime: now.Sub(choice.PickedAt),
		Utilization: float64(capacity.Busy) / float64(max(1, capacity.Slots)),
	})
}

// The loads on programs that unfold hold a burst from burstFrom to burstTo, in which programs
// ask at burstFactor times the rate that fits.
const (
	burstFrom = 12 * time.Second
	burstTo   = 24 * time.Second
)

// unfolding returns the load on programs that unfold with so many times its rates in the burst.
func unfolding(t *testing.T, factor float64) load {
	played := readLoad(t, "programs-that-unfold")
	for place, wave := range played.Arrivals {
		if milliseconds(wave.FromMS) == burstFrom {
			played.Arrivals[place].PerS *= factor
		}
	}
	return played
}

// replaySeeds is with how many seeds replayAll plays a load.
const replaySeeds = 2

// replayAll plays a load with several seeds, side by side, and adds up what became of the callers.
func replayAll(played load, way func() waitPolicy) map[string]*outcome {
	var outcomes [replaySeeds]map[string]*outcome
	var replays conc.WaitGroup
	for seed := range outcomes {
		replays.Go(func() { outcomes[seed] = replay(played, uint64(seed)+1, way) })
	}
	replays.Wait()
	total := map[string]*outcome{}
	for _, each := range outcomes {
		for kind, seen := range each {
			if total[kind] == nil {
				total[kind] = &outcome{}
			}
			total[kind].InTime += seen.InTime
			total[kind].Late += seen.Late
			total[kind].RefusedAgain += seen.RefusedFirst + seen.RefusedAgain
			total[kind].TimesInTime = append(total[kind].TimesInTime, seen.TimesInTime...)
		}
	}
	return total
}

// inTime returns the part of a kind's callers that were served in time.
func inTime(seen *outcome) float64 {
	return float64(seen.InTime) / float64(seen.InTime+seen.Late+seen.RefusedAgain+seen.Failed)
}

// between counts the programs that ended in time in a span of the load.
func between(outcomes map[string]*outcome, from, to time.Duration) int {
	count := 0
	for _, seen := range outcomes {
		for _, at := range seen.TimesInTime {
			if at >= from && at < to {
				count++
			}
		}
	}
	return count
}

const (
	// settleTime is how long after the begin or the end of a burst programs that were admitted
	// before are under way: as long as the longest one may take.
	settleTime = 2400 * time.Millisecond
	// leastGoodput is the part of the goodput without a burst that is left in any burst.
	leastGoodput = 0.9
)

// goodput returns how many programs ended in time while the burst lasted.
func goodput(outcomes map[string]*outcome) int {
	return between(outcomes, burstFrom+settleTime, burstTo)
}

var playedWithoutBurst map[string]*outcome

// withoutBurst returns what becomes of the callers while as many ask as fit.
func withoutBurst(t *testing.T) map[string]*outcome {
	if playedWithoutBurst == nil {
		playedWithoutBurst = replayAll(unfolding(t, 1), newAdmitting)
	}
	return playedWithoutBurst
}

func TestGoodputStaysWhileTooManyProgramsAsk(t *testing.T) {
	usual := goodput(withoutBurst(t))
	for _, factor := range []float64{1.5, 2, 3} {
		t.Run(fmt.Sprint(factor, " times"), func(t *testing.T) {
			played := unfolding(t, factor)
			played.Seconds = burstTo.Seconds()
			kept := replayAll(played, newAdmitting)
			require.GreaterOrEqual(t, float64(goodput(kept)), leastGoodput*float64(usual))
			require.GreaterOrEqual(t, inTime(kept["urgent"]), inTime(kept["usual"]))
		})
	}
}

// Admission by the slots that are free now was weighed: it serves fewer in time.
func TestFreeSlotsAloneAdmitTooManyPrograms(t *testing.T) {
	played := unfolding(t, 2)
	played.Seconds = burstTo.Seconds()
	require.Greater(t, goodput(replayAll(played, newAdmitting)), goodput(replayAll(played, newDecided)))
}

func TestGoodputIsBackOnceABurstIsOver(t *testing.T) {
	from, to := burstTo+settleTime, burstTo+settleTime+8*time.Second
	usual := between(withoutBurst(t), from, to)
	after := between(replayAll(unfolding(t, 3), newAdmitting), from, to)
	require.GreaterOrEqual(t, float64(after), leastGoodput*float64(usual))
}

// patient has all callers come back until their deadline.
func patient(played load) load {
	const attempts = 10
	for name, kind := range played.Kinds {
		kind.Retries = attempts
		played.Kinds[name] = kind
	}
	return played
}

// Most programs that ask while callers come back again and again cannot be in time any more.
// Admitted, they would make those late that still can.
func TestGoodputStaysWhileCallersComeBack(t *testing.T) {
	played := patient(unfolding(t, 3))
	from := burstTo + milliseconds(played.Kinds["urgent"].DeadlineMS) + settleTime
	to := from + 8*time.Second
	kept := replayAll(played, newAdmitting)
	require.GreaterOrEqual(t, float64(goodput(kept)), leastGoodput*float64(goodput(withoutBurst(t))))
	require.GreaterOrEqual(t, float64(between(kept, from, to)), leastGoodput*float64(between(withoutBurst(t), from, to)))
}

// Gateways that all learn anew in the middle of a burst meet late programs and callers that
// were refused before, and must not take them for the usual ones.
func TestForecastServesMoreAfterAllGatewaysStartAnewInABurst(t *testing.T) {
	played := patient(unfolding(t, 3))
	played.Reports.RestartAllAtMS = 16000
	played.Seconds = burstTo.Seconds()
	require.Greater(t, goodput(replayAll(played, newAdmitting)), goodput(replayAll(played, newDecided)))
}

// Goodput is to stay as high as in any burst also when all gateways start anew in its middle.
func TestGoodputStaysWhenAllGatewaysStartAnewInABurst(t *testing.T) {
	const restart = 16 * time.Second
	played := patient(unfolding(t, 3))
	played.Reports.RestartAllAtMS = float64(restart.Milliseconds())
	played.Seconds = burstTo.Seconds()
	usual := between(withoutBurst(t), restart, burstTo)
	after := between(replayAll(played, newAdmitting), restart, burstTo)
	require.GreaterOrEqual(t, float64(after), leastGoodput*float64(usual))
}

// The time of requests without load that gateways learned first was one under load in these runs.
// From then on all slots counted as room, and all programs were late until the load was gone.
func TestGoodputStaysWhateverGatewaysLearnFirst(t *testing.T) {
	usual := goodput(withoutBurst(t)) / replaySeeds
	for _, run := range []struct {
		factor float64
		seed   uint64
	}{{2, 18}, {2, 29}, {2, 46}, {3, 29}} {
		t.Run(fmt.Sprintf("%v times, seed %d", run.factor, run.seed), func(t *testing.T) {
			t.Parallel()
			played := patient(unfolding(t, run.factor))
			played.Seconds = burstTo.Seconds()
			kept := replay(played, run.seed, newAdmitting)
			require.GreaterOrEqual(t, float64(goodput(kept)), leastGoodput*float64(usual))
		})
	}
}

func TestGoodputStaysWhileReportsFail(t *testing.T) {
	usual := goodput(withoutBurst(t))
	for name, trouble := range map[string]reportTrouble{
		"late":                    {MostLateMS: 600},
		"lost":                    {MostLateMS: 100, Lost: 0.5},
		"doubled":                 {MostLateMS: 100, Doubled: 0.5},
		"one gateway silent":      {MostLateMS: 100, SilentAtMS: 10000},
		"one gateway starts anew": {MostLateMS: 100, RestartAtMS: 16000},
	} {
		t.Run(name, func(t *testing.T) {
			played := unfolding(t, 2)
			played.Seconds = burstTo.Seconds()
			played.Reports = trouble
			require.GreaterOrEqual(t, float64(goodput(replayAll(played, newAdmitting))), leastGoodput*float64(usual))
		})
	}
}

// Gateways that all admit on the same report, and all refuse on the next one, would leave the
// slots full and empty by turns.
func TestProgramsAreAdmittedWithoutWaves(t *testing.T) {
	const look = 100 * time.Millisecond
	played := unfolding(t, 3)
	var running []float64
	var sample func(r *replayed)
	sample = func(r *replayed) {
		if at := r.now.Sub(r.began); at >= burstFrom+settleTime && at < burstTo {
			total := 0
			for _, machine := range r.machines {
				total += machine.running
			}
			running = append(running, float64(total))
		}
		r.after(look, func() { sample(r) })
	}
	played.Watch = sample
	replay(played, 1, newAdmitting)
	sum, most := 0.0, 0.0
	for _, each := range running {
		sum += each
		most = max(most, each)
	}
	require.LessOrEqual(t, most, 2*sum/float64(len(running)))
	require.Less(t, most, float64(played.Instances*played.Slots))
}

// Without it, 0.87 of what is served without a start: times without load are not seen in a burst.
func TestGoodputStaysWhenGatewaysGoOnWithWhatWasLearned(t *testing.T) {
	const restart = 16 * time.Second
	served := func(trouble reportTrouble) int {
		played := unfolding(t, 3)
		played.Seconds = burstTo.Seconds()
		played.Reports = trouble
		return between(replayAll(played, newAdmitting), restart, burstTo)
	}
	kept := served(reportTrouble{RestartAllAtMS: float64(restart.Milliseconds()), Recall: true})
	require.GreaterOrEqual(t, float64(kept), leastGoodput*float64(served(reportTrouble{})))
}
