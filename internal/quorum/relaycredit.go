package quorum

const (
	// creditShare is the part of the requests that may go a second way while their connection
	// stands: what is late on a way that is full would go there twice, and make it fuller.
	creditShare = 0.1
	// creditMost is how many may at once. A connection that fell silent ends within two
	// seconds; until then this is what the turns of a gateway go by.
	creditMost = 150
)

// relayCredit bounds the requests that go by other gateways to replicas whose own connection
// stands. It is a pure value.
type relayCredit struct {
	// spent is what was used of creditMost.
	spent float64
}

// sent notes a request on its own connection.
func (c *relayCredit) sent() { c.spent = max(0, c.spent-creditShare) }

// spend reports whether a request may go a second way, and counts it.
func (c *relayCredit) spend() bool {
	if c.spent+1 > creditMost {
		return false
	}
	c.spent++
	return true
}
