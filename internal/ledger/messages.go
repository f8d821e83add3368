// Package ledger is the state of one replica: finished turns as a tree of
// immutable records, and the token charges of programs.
//
// Turns need no order and no leader. A turn is written once, under its own id, and
// never changes; it is kept when enough disks have synced it, and any replica that
// has it may answer a read.
//
// Charges need quorums but no leader either. Each charge belongs to one turn and
// goes from reserved (the most the turn may generate) to final (what it did).
// A gateway adds its reservation at a quorum of voters and gets back, in the same
// answer, all charges known there. Two quorums share a voter, and that voter saw
// one of two reservations first, so of two concurrent ones at least one sees the
// other: together they never exceed a budget unnoticed. Merging is a union in
// which a final charge replaces the reservation, so answers may come in any order.
//
// State is a pure state machine: Step takes the time and a request and returns the
// replies to send now, the records to sync, and the replies to send after that.
package ledger

import (
	"time"

	"swiftbank.dev/swiftbank/internal/quota"
	"swiftbank.dev/swiftbank/internal/replicaset"
)

// Turn is one finished turn of a line of turns. It never changes.
type Turn struct {
	ID string
	// Tenant is whose turn it is; "" where the operator names no tenants. Only that
	// tenant may go on from it.
	Tenant string
	// Previous is the turn it goes on from, or "".
	Previous string
	// Input is what the caller sent; Output what the engine answered, in the form in
	// which later prompts hold it.
	Input  []byte
	Output []byte
	// Instance is the engine that ran the turn, a hint for placement.
	Instance string
	// Retention is how long the turn and its chain are kept after it was used last.
	Retention time.Duration
}

// Charge is what one turn counts against its program's budget, in tokens.
type Charge struct {
	Turn   string
	Tokens int64
	// Final is false for a reservation.
	Final bool
	// Cached is what the turn left in an instance's memory; set on final charges.
	Cached CachedPrompt
}

// CachedPrompt is a prompt that an instance holds, a hint for the placement of the
// turns that go on from it on whichever gateway.
type CachedPrompt struct {
	Instance string
	// Born is when the instance started, in Unix milliseconds; 0 where that is not known, as in
	// what gateways of earlier versions write.
	Born uint64
	// Part is the last part of the prompt, Tokens how many of it are held, what was
	// generated included. All parts before it are held as well.
	Part   string
	Tokens int
}

// ProgramCharge is a charge with its program.
type ProgramCharge struct {
	Program string
	Charge  Charge
	// Retention is how long the program's charges are kept after they were used last.
	Retention time.Duration
}

// Request is one message to a replica. Exactly one of the pointers is set.
type Request struct {
	// Number pairs replies with requests of one connection.
	Number uint64
	// Epoch is the replica set's epoch the sender acts under; used by Reserve.
	Epoch     uint64
	Reserve   *Reserve
	Commit    *Commit
	Adopt     *Adopt
	Inventory *Inventory
	Fetch     *Fetch
	Chain     *Chain
	Hello     *replicaset.Node
	// Borrow is answered beside the ledger, by the replica's lender.
	Borrow *quota.Borrow
}

// Kind names what is asked, for metrics.
func (r Request) Kind() string {
	switch {
	case r.Reserve != nil:
		return "reserve"
	case r.Commit != nil && r.Commit.Turn != nil:
		return "commit"
	case r.Commit != nil:
		return "settle"
	case r.Adopt != nil:
		return "adopt"
	case r.Inventory != nil:
		return "inventory"
	case r.Fetch != nil:
		return "fetch"
	case r.Chain != nil:
		return "chain"
	case r.Borrow != nil:
		return "borrow"
	default:
		return "hello"
	}
}

// Reserve asks for a reservation, for a turn's history, or for both.
type Reserve struct {
	// Program is "" when there is no budget to count against.
	Program string
	Charge  Charge
	// Retention is how long the program may rest and still come back.
	Retention time.Duration
	// History names the turn whose chain is asked for, or ""; Tenant is who asks.
	History string
	Tenant  string
}

// Commit stores a finished turn, a final charge, or both.
type Commit struct {
	Turn *Turn
	// Ancestors are the turns before it, where they were kept in another cell.
	Ancestors []Turn
	Program   string
	Charge    Charge
	Retention time.Duration
}

// Adopt tells a replica of a newer membership. The durable reply means that it
// refuses reservations under older epochs from now on, and carries the next charges if
// asked for.
type Adopt struct {
	Set replicaset.Set
	// Charges is how many charges the reply may carry; 0 asks for none.
	Charges int
	// WithCharges asks replicas of the version before for all charges at once, and is what they
	// ask with: one that joined without the others' charges would hand budgets out again.
	WithCharges bool
	// After is how far this replica's charges are known to the one that asks.
	After HandoverPosition
}

// Inventory asks which turns a replica has stored since a position.
type Inventory struct {
	// Boot is the replica's Boot the position belongs to; another value reads from
	// the beginning.
	Boot  string
	After int
	// From is the asking replica's disk: all up to After is durable there.
	From string
}

// Fetch asks for turns by id.
type Fetch struct {
	IDs []string
}

// Chain asks for a turn and all turns before it.
type Chain struct {
	ID string
}

// Reply is one message from a replica. A Reserve has two replies, first the
// accepted one with the charges, then the durable one; the others have one.
type Reply struct {
	Number  uint64
	Disk    string
	Epoch   uint64
	Durable bool
	// Stale is set when the request's epoch is older than the replica's; the request
	// had no effect.
	Stale *replicaset.Set
	// Reserve answers a Reserve at its first reply.
	Reserve *ReserveReply
	// Charges answers an Adopt with charges, Handover says which of them.
	Charges   []ProgramCharge
	Handover  *Handover
	Inventory *InventoryReply
	// Turns answers a Fetch, or a Chain with the newest turn first; a chain with a gap
	// is answered with none.
	Turns []Turn
	// Cut is set when a Fetch asked for more than one reply holds.
	Cut bool
	// Chain is set in the answer to a Chain.
	Chain bool
	// Loan answers a Borrow.
	Loan *quota.Loan
}

// Kind names what is answered, for metrics.
func (r Reply) Kind() string {
	switch {
	case r.Stale != nil:
		return "stale_reply"
	case r.Reserve != nil:
		return "reserve_reply"
	case r.Chain:
		return "chain_reply"
	case r.Turns != nil:
		return "fetch_reply"
	case r.Charges != nil:
		return "charges_reply"
	case r.Inventory != nil:
		return "inventory_reply"
	case r.Loan != nil:
		return "loan_reply"
	default:
		return "durable_reply"
	}
}

// ReserveReply is what a replica knows when it accepts a reservation.
type ReserveReply struct {
	// Recorded says that the reservation is part of this replica's state.
	Recorded bool
	// Charges are those of the program, this one included.
	Charges []Charge
	// Found says that the whole chain is here; History is its text, oldest first.
	Found    bool
	History  []byte
	Instance string
	// Missing says that a history was asked for and is not here.
	Missing bool
	// Foreign says that the turn is another tenant's. A turn never changes its tenant, so
	// one replica's word is enough.
	Foreign bool
}

// InventoryReply lists turn ids in the order in which they were stored.
type InventoryReply struct {
	Boot     string
	IDs      []string
	Position int
	// More is set when there are further ids behind Position.
	More bool
	// Silent are the disks of the voters that this replica has not heard of for long.
	Silent []string
}

// Record is one entry of a replica's log. Exactly one of the fields is set.
type Record struct {
	Disk   string
	Turn   *Turn
	Charge *ProgramCharge
	Set    *replicaset.Set
	// Lent is the lender's; the ledger passes it over.
	Lent *quota.Lending
}
