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

// reportFaults describes the faults of program reports.
type reportFaults struct {
	// Reports are delayed by a time uniformly distributed up to MostLateMS. Lost and Doubled are
	// the fractions of reports that are lost or arrive twice.
	MostLateMS, Lost, Doubled float64
	// The first gateway stops reporting at SilentAtMS or restarts at RestartAtMS; all gateways
	// restart at RestartAllAtMS. 0 means never.
	SilentAtMS, RestartAtMS, RestartAllAtMS float64
	// Recall lets restarted gateways restore a snapshot.
	Recall bool
}

// reportFanout is how many other gateways receive each report.
const reportFanout = 2

// width returns how many concurrent requests a turn consists of.
func (k kind) width(turn int) int {
	if turn < len(k.Widths) {
		return k.Widths[turn]
	}
	return 1
}

// startProgramReports starts the exchange of program reports and schedules the restarts.
func (r *simulation) startProgramReports(newPolicy func() waitPolicy) {
	if r.load.Watch != nil {
		r.load.Watch(r)
	}
	if policy, isQueuePolicy := newPolicy().(*queuePolicy); !isQueuePolicy || policy.programs == nil {
		return
	}
	r.schedule(reportInterval, func() { r.reportPrograms(1) })
	if at := r.load.Reports.RestartAtMS; at > 0 {
		r.schedule(milliseconds(at), func() { r.gateways[0].policy = newPolicy() })
	}
	if at := r.load.Reports.RestartAllAtMS; at > 0 {
		r.schedule(milliseconds(at), func() {
			snapshot := r.snapshot()
			for _, gateway := range r.gateways {
				gateway.policy = newPolicy()
				gateway.policy.(*queuePolicy).programs.Restore(r.now, snapshot, snapshotAge)
			}
		})
	}
}

// snapshotAge is the age of the snapshot when all gateways restart.
const snapshotAge = 2 * time.Second

// snapshot returns the snapshot that restarted gateways restore; nil without Recall.
func (r *simulation) snapshot() map[admission.Key]float64 {
	if !r.load.Reports.Recall {
		return nil
	}
	return r.gateways[0].policy.(*queuePolicy).programs.Snapshot(r.now)
}

func (r *simulation) reportPrograms(number int) {
	faults := r.load.Reports
	for i, gateway := range r.gateways {
		if i == 0 && faults.SilentAtMS > 0 && r.now.After(r.startedAt.Add(milliseconds(faults.SilentAtMS))) {
			continue
		}
		figures := gateway.policy.(*queuePolicy).programs.Figures(r.now)
		encoded, err := admission.Encode(figures)
		for target := range reportFanout {
			other := r.gateways[(i+1+(number*reportFanout+target)%(len(r.gateways)-1))%len(r.gateways)]
			copies := 1
			switch chance := r.random.Float64(); {
			case chance < faults.Lost || err != nil:
				copies = 0
			case chance < faults.Lost+faults.Doubled:
				copies = 2
			}
			for range copies {
				r.schedule(milliseconds(faults.MostLateMS*r.random.Float64()), func() {
					if received, err := admission.Decode(encoded); err == nil {
						other.policy.(*queuePolicy).programs.ReplaceReport(r.now, tally.Source{Gateway: fmt.Sprint(i)}, received)
					}
				})
			}
		}
	}
	r.schedule(reportInterval, func() { r.reportPrograms(number + 1) })
}

func (c *call) programKind() admission.Kind {
	return admission.Kind{Service: "s", Route: c.kind, Rank: c.spec.Rank}
}

// mayStart reports whether a request may proceed as far as the admission of programs is concerned.
func (r *simulation) mayStart(c *call, policy *queuePolicy, id string, capacity overload.Capacity) bool {
	if policy.programs == nil || !c.first || c.admission.Verdict == admission.Admit {
		return true
	}
	c.admission = policy.programs.Decide(r.now, admission.Request{
		ID: id, Kind: c.programKind(), HoldUntil: c.startedAt.Add(milliseconds(2.5 * c.spec.WorkMS)), Deadline: c.deadline,
		TimeLeft: c.startedAt.Add(milliseconds(c.spec.ObjectiveMS)).Sub(r.now),
	}, admission.Load{Slots: capacity.Slots, Busy: capacity.Busy})
	if c.admission.Verdict != admission.Admit {
		return false
	}
	policy.programs.ProgramStarted(r.now, admission.ProgramStart{
		Kind: c.programKind(), Program: c.program, Utilization: float64(capacity.Busy) / float64(max(1, capacity.Slots)),
		TimeLeft: c.startedAt.Add(milliseconds(c.spec.ObjectiveMS)).Sub(r.now), RetryFree: c.admission.RetryFree,
	})
	return true
}

// held returns the delay of a request that admission held or refused.
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

func (g *gatewayModel) turnCompleted(now time.Time, c *call, choice backend.Choice) {
	policy, isQueuePolicy := g.policy.(*queuePolicy)
	if !isQueuePolicy || policy.programs == nil || c.spec.Turns == 0 {
		return
	}
	capacity := g.directory.Capacity(now, "s")
	policy.programs.TurnCompleted(now, admission.Turn{
		Kind: c.programKind(), Program: c.program, First: c.first, SlotTime: now.Sub(choice.PickedAt),
		Utilization: float64(capacity.Busy) / float64(max(1, capacity.Slots)),
	})
}

// The loads of programs that fan out contain a burst from burstFrom to burstTo.
const (
	burstFrom = 12 * time.Second
	burstTo   = 24 * time.Second
)

// fanOutLoad returns the load of programs that fan out, with the rates of the burst multiplied by
// factor. At factor 1 the programs fit.
func fanOutLoad(t *testing.T, factor float64) load {
	pattern := readLoad(t, "programs-that-unfold")
	for i, phase := range pattern.Arrivals {
		if milliseconds(phase.FromMS) == burstFrom {
			pattern.Arrivals[i].PerS *= factor
		}
	}
	return pattern
}

// replaySeeds is the number of seeds with which replayAll replays a load.
const replaySeeds = 2

// replayAll replays a load with several seeds concurrently and adds up the outcomes.
func replayAll(pattern load, newPolicy func() waitPolicy) map[string]*outcome {
	var outcomes [replaySeeds]map[string]*outcome
	var replays conc.WaitGroup
	for seed := range outcomes {
		replays.Go(func() { outcomes[seed] = replay(pattern, uint64(seed)+1, newPolicy) })
	}
	replays.Wait()
	total := map[string]*outcome{}
	for _, result := range outcomes {
		for kind, add := range result {
			if total[kind] == nil {
				total[kind] = &outcome{}
			}
			total[kind].InTime += add.InTime
			total[kind].Late += add.Late
			total[kind].RefusedAgain += add.RefusedFirst + add.RefusedAgain
			total[kind].CompletedAt = append(total[kind].CompletedAt, add.CompletedAt...)
		}
	}
	return total
}

// inTime returns the fraction of a kind's callers that were served in time.
func inTime(result *outcome) float64 {
	return float64(result.InTime) / float64(result.InTime+result.Late+result.RefusedAgain+result.Failed)
}

// inTimeBetween counts the programs that completed in time within a part of the load.
func inTimeBetween(outcomes map[string]*outcome, from, to time.Duration) int {
	count := 0
	for _, result := range outcomes {
		for _, at := range result.CompletedAt {
			if at >= from && at < to {
				count++
			}
		}
	}
	return count
}

const (
	// drainTime is how long after the start or end of a burst programs admitted before are active:
	// the longest time a program may take.
	drainTime = 2400 * time.Millisecond
	// minGoodputRatio is the minimum goodput during a burst, relative to the goodput without it.
	minGoodputRatio = 0.9
)

// goodput returns how many programs completed in time during the burst.
func goodput(outcomes map[string]*outcome) int {
	return inTimeBetween(outcomes, burstFrom+drainTime, burstTo)
}

var baselineOutcomes map[string]*outcome

// baseline returns the outcomes of a load that fits.
func baseline(t *testing.T) map[string]*outcome {
	if baselineOutcomes == nil {
		baselineOutcomes = replayAll(fanOutLoad(t, 1), newAdmissionPolicy)
	}
	return baselineOutcomes
}

func TestGoodputIsKeptWhileTooManyProgramsStart(t *testing.T) {
	expected := goodput(baseline(t))
	for _, factor := range []float64{1.5, 2, 3} {
		t.Run(fmt.Sprint(factor, " times"), func(t *testing.T) {
			pattern := fanOutLoad(t, factor)
			pattern.Seconds = burstTo.Seconds()
			outcomes := replayAll(pattern, newAdmissionPolicy)
			require.GreaterOrEqual(t, float64(goodput(outcomes)), minGoodputRatio*float64(expected))
			require.GreaterOrEqual(t, inTime(outcomes["urgent"]), inTime(outcomes["usual"]))
		})
	}
}

// Admission by currently free slots alone serves fewer programs in time.
func TestAdmissionByFreeSlotsAloneAdmitsTooManyPrograms(t *testing.T) {
	pattern := fanOutLoad(t, 2)
	pattern.Seconds = burstTo.Seconds()
	require.Greater(t, goodput(replayAll(pattern, newAdmissionPolicy)), goodput(replayAll(pattern, newQueuePolicy)))
}

func TestGoodputRecoversAfterABurst(t *testing.T) {
	from, to := burstTo+drainTime, burstTo+drainTime+8*time.Second
	expected := inTimeBetween(baseline(t), from, to)
	after := inTimeBetween(replayAll(fanOutLoad(t, 3), newAdmissionPolicy), from, to)
	require.GreaterOrEqual(t, float64(after), minGoodputRatio*float64(expected))
}

// withRetries lets all callers retry until their deadline.
func withRetries(pattern load) load {
	const attempts = 10
	for name, kind := range pattern.Kinds {
		kind.Retries = attempts
		pattern.Kinds[name] = kind
	}
	return pattern
}

// While callers retry repeatedly, most arriving programs can no longer meet their deadline.
// Admitting them would make others late that still can.
func TestGoodputIsKeptWhileCallersRetry(t *testing.T) {
	pattern := withRetries(fanOutLoad(t, 3))
	from := burstTo + milliseconds(pattern.Kinds["urgent"].DeadlineMS) + drainTime
	to := from + 8*time.Second
	outcomes := replayAll(pattern, newAdmissionPolicy)
	require.GreaterOrEqual(t, float64(goodput(outcomes)), minGoodputRatio*float64(goodput(baseline(t))))
	require.GreaterOrEqual(t, float64(inTimeBetween(outcomes, from, to)), minGoodputRatio*float64(inTimeBetween(baseline(t), from, to)))
}

// Gateways that all restart during a burst observe late programs and retries of callers refused
// before the restart. They must not learn from these as if they were normal.
func TestForecastServesMoreAfterAllGatewaysRestartInABurst(t *testing.T) {
	pattern := withRetries(fanOutLoad(t, 3))
	pattern.Reports.RestartAllAtMS = 16000
	pattern.Seconds = burstTo.Seconds()
	require.Greater(t, goodput(replayAll(pattern, newAdmissionPolicy)), goodput(replayAll(pattern, newQueuePolicy)))
}

// Goodput during a burst must not drop when all gateways restart.
func TestGoodputIsKeptWhenAllGatewaysRestartInABurst(t *testing.T) {
	const restart = 16 * time.Second
	pattern := withRetries(fanOutLoad(t, 3))
	pattern.Reports.RestartAllAtMS = float64(restart.Milliseconds())
	pattern.Seconds = burstTo.Seconds()
	expected := inTimeBetween(baseline(t), restart, burstTo)
	after := inTimeBetween(replayAll(pattern, newAdmissionPolicy), restart, burstTo)
	require.GreaterOrEqual(t, float64(after), minGoodputRatio*float64(expected))
}

// In these runs the first durations that gateways learned, taken as the baseline without load, came
// from under load. Requests then seemed not to slow down, all slots were usable, and all programs
// were late until the load ended.
func TestGoodputIsKeptWhateverGatewaysLearnFirst(t *testing.T) {
	expected := goodput(baseline(t)) / replaySeeds
	for _, run := range []struct {
		factor float64
		seed   uint64
	}{{2, 18}, {2, 29}, {2, 46}, {3, 29}} {
		t.Run(fmt.Sprintf("%v times, seed %d", run.factor, run.seed), func(t *testing.T) {
			t.Parallel()
			pattern := withRetries(fanOutLoad(t, run.factor))
			pattern.Seconds = burstTo.Seconds()
			outcomes := replay(pattern, run.seed, newAdmissionPolicy)
			require.GreaterOrEqual(t, float64(goodput(outcomes)), minGoodputRatio*float64(expected))
		})
	}
}

func TestGoodputIsKeptWhileReportsFail(t *testing.T) {
	expected := goodput(baseline(t))
	for name, faults := range map[string]reportFaults{
		"late":                 {MostLateMS: 600},
		"lost":                 {MostLateMS: 100, Lost: 0.5},
		"doubled":              {MostLateMS: 100, Doubled: 0.5},
		"one gateway silent":   {MostLateMS: 100, SilentAtMS: 10000},
		"one gateway restarts": {MostLateMS: 100, RestartAtMS: 16000},
	} {
		t.Run(name, func(t *testing.T) {
			pattern := fanOutLoad(t, 2)
			pattern.Seconds = burstTo.Seconds()
			pattern.Reports = faults
			require.GreaterOrEqual(t, float64(goodput(replayAll(pattern, newAdmissionPolicy))), minGoodputRatio*float64(expected))
		})
	}
}

// If all gateways admit on one report and refuse on the next, the number of busy slots oscillates.
func TestProgramsAreAdmittedWithoutOscillation(t *testing.T) {
	const interval = 100 * time.Millisecond
	pattern := fanOutLoad(t, 3)
	var running []float64
	var sample func(r *simulation)
	sample = func(r *simulation) {
		if at := r.now.Sub(r.startedAt); at >= burstFrom+drainTime && at < burstTo {
			total := 0
			for _, instance := range r.instances {
				total += instance.running
			}
			running = append(running, float64(total))
		}
		r.schedule(interval, func() { sample(r) })
	}
	pattern.Watch = sample
	replay(pattern, 1, newAdmissionPolicy)
	sum, peak := 0.0, 0.0
	for _, count := range running {
		sum += count
		peak = max(peak, count)
	}
	require.LessOrEqual(t, peak, 2*sum/float64(len(running)))
	require.Less(t, peak, float64(pattern.Instances*pattern.Slots))
}

// Without the snapshot, goodput was 0.87 of that without a restart: a burst shows no durations
// without load.
func TestGoodputIsKeptWhenGatewaysRestoreASnapshot(t *testing.T) {
	const restart = 16 * time.Second
	served := func(faults reportFaults) int {
		pattern := fanOutLoad(t, 3)
		pattern.Seconds = burstTo.Seconds()
		pattern.Reports = faults
		return inTimeBetween(replayAll(pattern, newAdmissionPolicy), restart, burstTo)
	}
	restored := served(reportFaults{RestartAllAtMS: float64(restart.Milliseconds()), Recall: true})
	require.GreaterOrEqual(t, float64(restored), minGoodputRatio*float64(served(reportFaults{})))
}
