package overload

import "time"

const (
	// slackTurns is how many turns tell the times of programs, and slackWindow over about how
	// many they are averaged at one gateway: programs of one kind differ by several times in
	// their length.
	slackTurns  = 40
	slackWindow = 200
	// longestPrograms is how many times the mean time of a program nearly all of them have.
	longestPrograms = 2
	// urgentPart is the part of their slack that all turns of urgent programs may use on the
	// mean: programs differ, and at the whole of it half of them would be late.
	urgentPart = 0.75
	// slackPart is the part of its program's slack that one turn may wait: the turns after it
	// must find slack too.
	slackPart = 0.25
	// latePart is the part of the time until its caller leaves that a turn of a late program
	// may wait. The rest is left for its run and for another attempt.
	latePart = 0.25
)

// programTimes tells how much longer than usual the programs of one kind may take. Their
// callers say with each turn how much time is left, not how many turns follow. But turns lie
// evenly over a program, so that on the mean half of its usual time has passed at a later turn.
// Of programs that began at this gateway it knows which share of their time that was, whatever
// their length. All fields are sums, so that those of several gateways can be added.
type programTimes struct {
	// programs and turns count; aim adds up the time left at the first turns, in seconds.
	programs, turns, aim float64
	// known counts later turns of programs that began here, passed adds up which share of their
	// programs' time had passed.
	known, passed float64
	// learnsFrom is when learning goes on.
	learnsFrom time.Time
}

// mayLearn reports whether a turn tells what is usual. Programs that meet an overload take
// longer, so that nothing is learned until those are over; nor is it from the first turns of
// all, when no old programs are seen yet.
func (p *programTimes) mayLearn(now time.Time, calm bool, aim time.Duration) bool {
	if p.learnsFrom.IsZero() || !calm {
		if p.programs > 0 {
			aim = max(aim, seconds(longestPrograms*p.aim/p.programs))
		}
		p.learnsFrom = now.Add(aim)
	}
	return !now.Before(p.learnsFrom)
}

// observe adds a turn and the time that its program had left when it came; aim is what that was
// at its first turn, 0 where that is not known. Old ones weigh less.
func (p *programTimes) observe(first bool, left, aim time.Duration) {
	const kept = 1 - 1.0/slackWindow
	p.programs *= kept
	p.aim *= kept
	p.turns = p.turns*kept + 1
	if first {
		p.programs++
		p.aim += left.Seconds()
		return
	}
	if aim > 0 {
		p.known = p.known*kept + 1
		p.passed = p.passed*kept + 1 - left.Seconds()/aim.Seconds()
	}
}

// plus returns the sums of two gateways.
func (p programTimes) plus(other programTimes) programTimes {
	return programTimes{
		programs: p.programs + other.programs, turns: p.turns + other.turns, aim: p.aim + other.aim,
		known: p.known + other.known, passed: p.passed + other.passed,
	}
}

// slackShare returns which share of a program's time it usually does not need, and the number
// of its turns; ok is false before these are known.
func (p programTimes) slackShare() (share, turns float64, ok bool) {
	if p.known < slackTurns || p.programs <= 0 {
		return 0, 0, false
	}
	return max(0, 1-2*p.passed/p.known), p.turns / p.programs, true
}

// turnSlack returns by how much longer than usual each turn of a program may take on the mean.
func (p programTimes) turnSlack() (slack time.Duration, ok bool) {
	share, turns, ok := p.slackShare()
	if !ok {
		return 0, false
	}
	return seconds(urgentPart * share * p.aim / p.programs / turns), true
}

// longest returns how long a turn may be held whose program has so much time left; 0 before
// that is known.
func (p programTimes) longest(left time.Duration) time.Duration {
	share, _, _ := p.slackShare()
	return seconds(slackPart * share * left.Seconds())
}

// beginnings remembers how much time the programs have that began at this gateway lately.
type beginnings struct {
	aims map[string]time.Duration
	// recent holds their names in a ring.
	recent []string
	next   int
}

// mostBeginnings bounds the programs that are remembered.
const mostBeginnings = 512

func newBeginnings() *beginnings {
	return &beginnings{aims: map[string]time.Duration{}, recent: make([]string, mostBeginnings)}
}

// add remembers a program that begins.
func (b *beginnings) add(program string, aim time.Duration) {
	delete(b.aims, b.recent[b.next])
	b.recent[b.next] = program
	b.next = (b.next + 1) % len(b.recent)
	b.aims[program] = aim
}

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }
