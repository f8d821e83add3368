package quorum

const (
	// creditPerRequest is the fraction of requests that may also go through a relay while their
	// direct connection is up. Duplicating every late request would load a saturated link further.
	creditPerRequest = 0.1
	// maxCredit is the burst, in requests. It covers the requests of a gateway until a silent
	// connection is replaced, which takes up to two seconds.
	maxCredit = 150
)

// relayCredit is a token bucket that limits relayed requests to replicas whose direct connection is
// up. Requests sent directly refill it.
type relayCredit struct {
	// spent is how much of maxCredit is used.
	spent float64
}

// refill adds the credit of one request sent on a direct connection.
func (c *relayCredit) refill() { c.spent = max(0, c.spent-creditPerRequest) }

// spend takes one token and reports whether there was one.
func (c *relayCredit) spend() bool {
	if c.spent+1 > maxCredit {
		return false
	}
	c.spent++
	return true
}
