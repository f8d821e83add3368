package admission

import (
	"time"

	"swiftbank.dev/swiftbank/internal/tally"
)

const (
	// reportLife is how long what another gateway said counts. Programs that it admitted go on
	// through other gateways when it is gone, so this is as long as most of them take.
	reportLife = 5 * time.Second
	// mostPrograms bounds the programs whose beginnings are remembered; twice as many at most.
	mostPrograms = 2048
	// mostSlowdown is up to which slowdown a program's time tells how long it takes without
	// other load: beyond it, what is taken off for the load is no small part any more.
	mostSlowdown = 1.5
	// warmUp is for how long after a start the times of requests are left out: the first to end
	// are the short ones, and the slots in use are not known yet.
	warmUp = 2 * time.Second
	// shareTime is over which time the share of the slots in use is taken.
	shareTime = time.Second
	// calibrationTime is over which time the slots in use are compared with those expected.
	calibrationTime = time.Second
	// calibrationMost bounds the factor between them to either side.
	calibrationMost = 2
)

// Controller is what one gateway knows of programs. It is not safe for concurrent use.
type Controller struct {
	kinds    map[group]*kindState
	services map[group]*serviceState
	others   *tally.Tally[Key]
	recalled recalled
	// programs are those that began here of late, previous the ones before them.
	programs, previous map[string]beginning
}

// kindState is what this gateway knows of a kind itself.
type kindState struct {
	sums sums
	// estimate is what all gateways know of it by the last decision.
	estimate estimate
	at       time.Time
	// refusedUntil is until when callers that were refused, or may have been, come back.
	refusedUntil time.Time
}

// serviceState is what this gateway knows of a service itself.
type serviceState struct {
	slowdown slowdown
	// points are the slowdown by all gateways as of the last decision.
	points []point
	// share is the share of the slots in use over the last second or so: a turn's time tells
	// of the load that it met, not of that at its end.
	share   float64
	shareAt time.Time
	// since is when the service was first heard of.
	since time.Time
	// factor is the slots in use for each one that is expected; calibratedAt is when it was
	// last moved.
	factor       float64
	calibratedAt time.Time
}

// beginning is when a program began, how much time it had, and how much slower than without
// other load requests were then.
type beginning struct {
	at       time.Time
	left     time.Duration
	slowdown float64
	// usual says that no callers came back then.
	usual bool
}

// NewController returns a controller that knows nothing.
func NewController() *Controller {
	return &Controller{
		kinds: map[group]*kindState{}, services: map[group]*serviceState{}, others: tally.New[Key](reportLife),
		programs: map[string]beginning{}, previous: map[string]beginning{},
	}
}

// kind returns what is known of a kind, as of now.
func (c *Controller) kind(now time.Time, name group) *kindState {
	known := c.kinds[name]
	if known == nil {
		if len(c.kinds) >= mostRemembered {
			clear(c.kinds)
		}
		known = &kindState{at: now, estimate: estimate{stage: unknownStage}}
		c.kinds[name] = known
	}
	known.fade(now)
	return known
}

// service returns what is known of a service.
func (c *Controller) service(now time.Time, name group) *serviceState {
	known := c.services[name]
	if known == nil {
		if len(c.services) >= mostRemembered {
			clear(c.services)
		}
		known = &serviceState{factor: 1, calibratedAt: now, since: now}
		c.services[name] = known
	}
	return known
}

// fade moves the sums on to now.
func (k *kindState) fade(now time.Time) {
	if after := now.Sub(k.at); after > 0 {
		k.sums.fade(after.Seconds(), k.estimate)
		k.at = now
	}
}

// ProgramStart is a program's first request that an instance took.
type ProgramStart struct {
	Kind    Kind
	Program string
	// TimeLeft is the time that the program has; 0 if it names none.
	TimeLeft time.Duration
	// Utilization is the part of the service's slots in use.
	Utilization float64
	// RetryFree is what the decision said.
	RetryFree bool
}

// ProgramStarted notes that a program began.
func (c *Controller) ProgramStarted(now time.Time, program ProgramStart) {
	name := groupOf(program.Kind)
	known := c.kind(now, name)
	known.sums[begun]++
	known.sums[first]++
	known.sums[early]++
	if len(c.programs) >= mostPrograms {
		c.programs, c.previous = map[string]beginning{}, c.programs
	}
	service := c.service(now, name.service())
	service.noteShare(now, program.Utilization)
	c.programs[program.Program] = beginning{at: now, left: program.TimeLeft, slowdown: service.present(), usual: program.RetryFree}
}

// Turn is a request that was answered whole.
type Turn struct {
	Kind    Kind
	Program string
	// First says that it is the first of its program.
	First bool
	// SlotTime is its slot time.
	SlotTime time.Duration
	// Utilization is the part of the service's slots in use.
	Utilization float64
}

// TurnCompleted learns from a request that was answered whole.
func (c *Controller) TurnCompleted(now time.Time, turn Turn) {
	name := groupOf(turn.Kind)
	known := c.kind(now, name)
	service := c.service(now, name.service())
	took := milliseconds(turn.SlotTime)
	service.noteShare(now, turn.Utilization)
	if now.Sub(service.since) >= warmUp {
		service.slowdown.observe(service.share, took)
	}
	known.sums[turnMS] += took
	known.sums[turnSquares] += took * took
	if turn.First {
		return
	}
	known.sums[later] += known.estimate.begunWithin(now.Sub(service.since))
	if began, remembered := c.beginning(turn.Program); remembered {
		age := max(0, now.Sub(began.at)-turn.SlotTime/2)
		known.sums.learnAge(began, age, service.present())
	}
}

// beginning returns how a program began, if it began here of late.
func (c *Controller) beginning(program string) (beginning, bool) {
	if began, remembered := c.programs[program]; remembered {
		return began, true
	}
	began, remembered := c.previous[program]
	return began, remembered
}

// learnAge learns from the age of a program in the middle of a later turn.
func (s *sums) learnAge(began beginning, age time.Duration, slowdown float64) {
	s[aged]++
	s[ageMS] += milliseconds(age)
	// A program that is late, or that began while refused callers may have come back, does not
	// tell how much of their time programs of its kind need: it had less than they have.
	if age < began.left && began.usual && max(began.slowdown, slowdown) <= mostSlowdown {
		s.addPhase(began.left, time.Duration(float64(age)*2/(began.slowdown+slowdown)))
	}
}

// addPhase adds how much of a program's time would have been over without other load.
func (s *sums) addPhase(left, over time.Duration) {
	for each := phased; each <= calmMS; each++ {
		s[each] -= s[each] / phaseMemory
	}
	s[phased]++
	s[phase] += over.Seconds() / left.Seconds()
	s[calmMS] += milliseconds(over)
}

// present returns by how much slower than without other load requests are now.
func (s *serviceState) present() float64 { return at(s.points, s.share) }

// mayComeBack notes until when a caller that is refused may come back.
func (k *kindState) mayComeBack(until time.Time) {
	if until.After(k.refusedUntil) {
		k.refusedUntil = until
	}
}

// noteShare adds the share of the slots in use to its mean.
func (s *serviceState) noteShare(now time.Time, share float64) {
	if now.Before(s.shareAt) {
		return // the time of a request that was read before another one's
	}
	weight := 1.0
	if !s.shareAt.IsZero() {
		weight = 1 - fading(now.Sub(s.shareAt).Seconds(), shareTime.Seconds())
	}
	s.share += weight * (share - s.share)
	s.shareAt = now
}

// TurnFailed notes that a later request of a program got no whole answer: the program may have
// ended before its time, which must not teach that its kind is short.
func (c *Controller) TurnFailed(now time.Time, kind Kind) {
	known := c.kind(now, groupOf(kind))
	known.sums[begun] = max(0, known.sums[begun]-cutShare)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
