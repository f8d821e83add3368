package replica

import "time"

// claims records which peer is fetching which turn, so that each turn is requested from one peer
// only. A replica with an empty disk lacks all turns and every peer has them: requested from each
// peer, they would cross the link between regions several times and delay callers' turns. It does
// not read the clock; each call passes the time.
type claims struct {
	byTurn map[string]claim
}

// claim is the assignment of one turn to a peer.
type claim struct {
	peer string
	// until is when the turn may be requested from another peer.
	until time.Time
}

func newClaims() *claims { return &claims{byTurn: map[string]claim{}} }

// acquire claims at most limit of the turns for the peer and returns them. It skips turns that
// another peer has claimed.
func (c *claims) acquire(now time.Time, peer string, turns []string, limit int) []string {
	var acquired []string
	for _, turn := range turns {
		if len(acquired) == limit {
			break
		}
		if other, claimed := c.byTurn[turn]; claimed && other.peer != peer && now.Before(other.until) {
			continue
		}
		c.byTurn[turn] = claim{peer: peer, until: now.Add(requestRetryDelay)}
		acquired = append(acquired, turn)
	}
	return acquired
}

// release drops the peer's claims on the turns.
func (c *claims) release(peer string, turns []string) {
	for _, turn := range turns {
		if c.byTurn[turn].peer == peer {
			delete(c.byTurn, turn)
		}
	}
}
