package feed

import "time"

// pace bounds the pause between the answer of a watch and the next watch. During a burst of
// answers the pause doubles from initial to limit, so that each process reads the changes of a
// starting fleet in a few calls. A single change is delivered without delay.
type pace struct {
	initial, limit time.Duration
	// startupLimit replaces limit during startupPeriod, when the whole fleet may be starting;
	// zero means that limit applies.
	startupLimit time.Duration
}

var (
	// promptPace is for the configuration and evacuations, which change rarely and are urgent.
	promptPace = pace{}
	// instancePace stays well below the two seconds after which a leaving instance must get
	// no new requests.
	instancePace = pace{initial: 25 * time.Millisecond, limit: 600 * time.Millisecond, startupLimit: 1200 * time.Millisecond}
	// memberPace is for members and retirements. Until a gateway knows a replica's new disk or
	// address it refuses turns.
	memberPace = pace{initial: 250 * time.Millisecond, limit: 250 * time.Millisecond}
)

// startupPeriod is how long after the first answer startupLimit applies.
const startupPeriod = 8 * time.Second

// quietFactor times the limit is the time without answers after which a burst has ended.
const quietFactor = 2

// pacer computes the pauses of one watch.
type pacer struct {
	pace pace
	// pause is the last pause; lastAnswerAt is the time of the last answer.
	pause        time.Duration
	lastAnswerAt time.Time
	// firstAnswerAt is the time of the first answer.
	firstAnswerAt time.Time
}

// next returns the pause after an answer that arrived at the given time.
func (p *pacer) next(now time.Time) time.Duration {
	if p.firstAnswerAt.IsZero() {
		p.firstAnswerAt = now
	}
	limit := p.pace.limit
	if p.pace.startupLimit > 0 && now.Sub(p.firstAnswerAt) < startupPeriod {
		limit = p.pace.startupLimit
	}
	quiet := p.lastAnswerAt.IsZero() || now.Sub(p.lastAnswerAt) > quietFactor*limit
	if quiet {
		p.pause = p.pace.initial
	} else {
		p.pause = min(2*p.pause, limit)
	}
	p.lastAnswerAt = now
	return p.pause
}
