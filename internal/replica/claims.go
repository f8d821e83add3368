package replica

import "time"

// claims says which peer is asked for which turn. A replica with an empty disk lacks all turns
// and every peer has them: asked of each peer, they would cross the link between regions
// several times, and callers' turns would wait behind them. It is a pure value; time comes in
// with each call.
type claims struct {
	byTurn map[string]claim
}

// claim is one turn that was asked of a peer.
type claim struct {
	peer string
	// until is when another peer may be asked for it.
	until time.Time
}

func newClaims() *claims { return &claims{byTurn: map[string]claim{}} }

// take returns at most so many of the turns that no other peer is asked for, and claims them
// for this one.
func (c *claims) take(now time.Time, peer string, turns []string, most int) []string {
	var taken []string
	for _, turn := range turns {
		if len(taken) == most {
			break
		}
		if other, claimed := c.byTurn[turn]; claimed && other.peer != peer && now.Before(other.until) {
			continue
		}
		c.byTurn[turn] = claim{peer: peer, until: now.Add(askAgainAfter)}
		taken = append(taken, turn)
	}
	return taken
}

// release ends the peer's claims on the turns.
func (c *claims) release(peer string, turns []string) {
	for _, turn := range turns {
		if c.byTurn[turn].peer == peer {
			delete(c.byTurn, turn)
		}
	}
}
