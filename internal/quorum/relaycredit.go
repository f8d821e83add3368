package quorum

const (
	// creditShare is the part of the requests that may also go through a relay while their own
	// connection is up: sent twice, what is late on a full link would make it fuller.
	creditShare = 0.1
	// creditMost is the burst, in requests. A silent connection is replaced within two seconds;
	// until then a gateway's turns go through relays on this credit.
	creditMost = 150
)

// relayCredit is a token bucket for relayed requests to replicas whose own connection is up,
// refilled by the requests sent directly. It is a pure value.
type relayCredit struct {
	// spent is how much of creditMost is used.
	spent float64
}

// sent refills the bucket for one request on its own connection.
func (c *relayCredit) sent() { c.spent = max(0, c.spent-creditShare) }

// spend takes one token, and reports whether there was one.
func (c *relayCredit) spend() bool {
	if c.spent+1 > creditMost {
		return false
	}
	c.spent++
	return true
}
