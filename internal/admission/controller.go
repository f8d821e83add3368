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
	// other load: beyond it, what is taken off for the load is no small part any more, and
	// callers that were refused come back with less time than programs of their kind have.
	mostSlowdown = 1.5
	// shareTime is over which time the share of the slots in use is taken.
	shareTime = time.Second
	// calibrationTime is over which time the slots in use are compared with those expected.
	calibrationTime = 3 * time.Second
	// calibrationMost bounds the factor between them to either side.
	calibrationMost = 2
)

// Controller is what one gateway knows of programs. It is not safe for concurrent use.
type Controller struct {
	kinds    map[group]*kindState
	services map[group]*serviceState
	others   *tally.Tally[Key]
	// programs are those that began here of late, previous the ones before them.
	programs, previous map[string]beginning
}

// kindState is what this gateway knows of a kind itself.
type kindState struct {
	sums sums
	// estimate is what all gateways know of it by the last decision.
	estimate estimate
	at       time.Time
}

// serviceState is what this gateway knows of a service itself.
type serviceState struct {
	slowdown slowdown
	at       time.Time
	// points are the slowdown by all gateways as of the last decision.
	points []point
	// share is the share of the slots in use over the last second or so: a turn's time tells
	// of the load that it met, not of that at its end.
	share   float64
	shareAt time.Time
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
		known = &kindState{at: now}
		c.kinds[name] = known
	}
	known.fade(now)
	return known
}

// service returns what is known of a service, as of now.
func (c *Controller) service(now time.Time, name group) *serviceState {
	known := c.services[name]
	if known == nil {
		if len(c.services) >= mostRemembered {
			clear(c.services)
		}
		known = &serviceState{at: now, factor: 1, calibratedAt: now}
		c.services[name] = known
	}
	known.fade(now)
	return known
}

func (k *kindState) fade(now time.Time) {
	if after := now.Sub(k.at); after > 0 {
		e := k.estimate
		e.stage = max(e.stage, e.turn, minimumStage)
		k.sums.fade(after.Seconds(), e)
		k.at = now
	}
}

// minimumStage keeps the programs of a kind of which nothing is known yet for a moment, in
// seconds.
const minimumStage = 0.05

func (s *serviceState) fade(now time.Time) {
	if after := now.Sub(s.at); after > 0 {
		s.slowdown.fade(remembered(after))
		s.at = now
	}
}

// Beginning is a program's first request that an instance took.
type Beginning struct {
	Kind    Kind
	Program string
	// Left is the time that the program has; 0 if it names none.
	Left time.Duration
	// Share is the part of the service's slots in use.
	Share float64
}

// Began notes that a program began.
func (c *Controller) Began(now time.Time, program Beginning) {
	name := groupOf(program.Kind)
	known := c.kind(now, name)
	known.sums[begun]++
	known.sums[first]++
	known.sums[early]++
	if len(c.programs) >= mostPrograms {
		c.programs, c.previous = map[string]beginning{}, c.programs
	}
	service := c.service(now, name.service())
	service.noteShare(now, program.Share)
	c.programs[program.Program] = beginning{at: now, left: program.Left, slowdown: service.present()}
}

// Turn is a request that was answered whole.
type Turn struct {
	Kind    Kind
	Program string
	// First says that it is the first of its program.
	First bool
	// Took is its slot time.
	Took time.Duration
	// Share is the part of the service's slots in use.
	Share float64
}

// TurnEnded learns from a request that was answered whole.
func (c *Controller) TurnEnded(now time.Time, turn Turn) {
	name := groupOf(turn.Kind)
	known := c.kind(now, name)
	service := c.service(now, name.service())
	took := milliseconds(turn.Took)
	service.noteShare(now, turn.Share)
	service.slowdown.observe(service.share, took)
	known.sums[turnMS] += took
	known.sums[turnSquares] += took * took
	if turn.First {
		return
	}
	known.sums[later]++
	began, remembered := c.programs[turn.Program]
	if !remembered {
		began, remembered = c.previous[turn.Program]
	}
	if !remembered {
		return
	}
	age := max(0, now.Sub(began.at)-turn.Took/2)
	known.sums[aged]++
	known.sums[ageMS] += milliseconds(age)
	slowdown := service.present()
	if began.left > 0 && max(began.slowdown, slowdown) <= mostSlowdown {
		known.sums.addPhase(age.Seconds() / began.left.Seconds() / ((began.slowdown + slowdown) / 2))
	}
}

// addPhase adds the part of a program's time that was over.
func (s *sums) addPhase(over float64) {
	s[phased] -= s[phased] / phaseMemory
	s[phase] -= s[phase] / phaseMemory
	s[phased]++
	s[phase] += over
}

// present returns by how much slower than without other load requests are now.
func (s *serviceState) present() float64 { return at(s.points, s.share) }

// noteShare adds the share of the slots in use to its mean.
func (s *serviceState) noteShare(now time.Time, share float64) {
	weight := 1.0
	if !s.shareAt.IsZero() {
		weight = 1 - fading(now.Sub(s.shareAt).Seconds(), shareTime.Seconds())
	}
	s.share += weight * (share - s.share)
	s.shareAt = now
}

// TurnLost notes that a later request of a program got no whole answer: the program may have
// ended before its time, which must not teach that its kind is short.
func (c *Controller) TurnLost(now time.Time, kind Kind) {
	known := c.kind(now, groupOf(kind))
	known.sums[begun] = max(0, known.sums[begun]-cutShare)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
