package feed

import "time"

// pace bounds the pause between an answer of a watch and the next watch. While answers
// follow each other the pause doubles from first to most, so that a fleet that starts
// is read in a few calls by each of its nodes; a lone change is followed at once.
type pace struct {
	first, most time.Duration
	// young is the most in the first moments of a process, when a whole fleet may be
	// starting around it; zero is the same as most.
	young time.Duration
}

var (
	// promptPace is for the configuration: few changes, wanted at once.
	promptPace = pace{}
	// instancePace stays well below the two seconds within which a leaving instance
	// must get nothing new.
	instancePace = pace{first: 25 * time.Millisecond, most: 600 * time.Millisecond, young: 1200 * time.Millisecond}
	// memberPace is for the members of the fleet: a gateway that learns late of a
	// replica's new disk or address refuses turns meanwhile.
	memberPace = pace{first: 250 * time.Millisecond, most: 250 * time.Millisecond}
)

// youth is how long a process counts as young.
const youth = 8 * time.Second

// calmFactor times the most is the pause after which changes no longer follow each
// other.
const calmFactor = 2

// pacer is the pace of one watch.
type pacer struct {
	pace pace
	// pause is the last pause, answeredAt when the last answer came.
	pause      time.Duration
	answeredAt time.Time
	// bornAt is when the first answer came.
	bornAt time.Time
}

// next returns the pause after an answer at the given time.
func (p *pacer) next(now time.Time) time.Duration {
	if p.bornAt.IsZero() {
		p.bornAt = now
	}
	most := p.pace.most
	if p.pace.young > 0 && now.Sub(p.bornAt) < youth {
		most = p.pace.young
	}
	calm := p.answeredAt.IsZero() || now.Sub(p.answeredAt) > calmFactor*most
	if calm {
		p.pause = p.pace.first
	} else {
		p.pause = min(2*p.pause, most)
	}
	p.answeredAt = now
	return p.pause
}
