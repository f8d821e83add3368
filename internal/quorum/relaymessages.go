package quorum

import "swiftbank.dev/swiftbank/internal/ledger"

// RelayRequest asks another gateway to forward a request to a replica to which the sender's direct
// connection is down or unresponsive. The relay does not change the request's epoch.
type RelayRequest struct {
	// Cell and Replica identify the destination.
	Cell    int
	Replica string
	Request ledger.Request
}

// RelayReply returns a replica's reply to the requesting gateway, or reports that the relay cannot
// reach the replica either.
type RelayReply struct {
	Cell    int
	Replica string
	// Unreachable is set if the request was not forwarded; Reply then holds only the request's
	// number.
	Unreachable bool
	Reply       ledger.Reply
}
