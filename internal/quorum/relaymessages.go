package quorum

import "swiftbank.dev/swiftbank/internal/ledger"

// RelayRequest asks another gateway to pass a request on to a replica, because the
// direct connection there is cut. The request stays the sender's: its epoch is not changed.
type RelayRequest struct {
	// Cell and Replica name where it goes to.
	Cell    int
	Replica string
	Request ledger.Request
}

// RelayReply is a replica's reply on its way back, or the word that the relaying
// gateway does not reach the replica either.
type RelayReply struct {
	Cell    int
	Replica string
	// Unreachable is set when the request was not passed on; Reply then holds only the
	// request's number.
	Unreachable bool
	Reply       ledger.Reply
}
