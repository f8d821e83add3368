// Package ledger is the state of one replica: finished turns as a tree of
// immutable records, and the token charges of programs.
//
// Turns need no order and no leader. A turn is written once, under its own id, and
// is immutable; it is committed when enough disks have synced it, and any replica that
// has it may serve a read.
//
// Charges need quorums but no leader either. Each charge belongs to one turn and
// goes from reserved (the maximum the turn may generate) to final (what it did generate).
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

	"swiftbank.dev/swiftbank/internal/quarantine"
	"swiftbank.dev/swiftbank/internal/quota"
	"swiftbank.dev/swiftbank/internal/replicaset"
)

// Turn is one finished turn of a conversation. It is immutable.
type Turn struct {
	ID string
	// Tenant owns the turn; "" where the operator configures no tenants. Only the same
	// tenant may continue it.
	Tenant string
	// Previous is the id of the turn that this one continues, or "".
	Previous string
	// Input is what the caller sent; Output is the engine's answer, in the form in
	// which later prompts contain it.
	Input  []byte
	Output []byte
	// Instance is the engine that ran the turn, a hint for placement.
	Instance string
	// Retention is how long the turn and its chain are kept after the last use.
	Retention time.Duration
}

// Charge is the number of tokens that one turn counts against its program's budget.
type Charge struct {
	Turn   string
	Tokens int64
	// Final is false for a reservation.
	Final bool
	// Cached is the prompt that the turn left in an instance's cache; set on final charges.
	Cached CachedPrompt
	// Origin is the software that began the turn's stream; nil if the stream cannot be resumed, and
	// in charges written by earlier versions of this program.
	Origin *StreamOrigin
	// Run is a run of a request whose instance ended, or may have ended, during it; nil on the charges of
	// turns. Such a charge has no tokens, and the run's id as its turn.
	Run *quarantine.Run
}

// StreamOrigin identifies the software whose instances generate a resumable stream: what another
// version generates does not continue it. Once the version is known, all records of the stream are
// equal.
type StreamOrigin struct {
	// Service and Version are those of the instances that may continue the stream. Version is "" until
	// the turn is placed.
	Service string
	Version string
	// Resumed is set, without a service and a version, on a turn that resumes the stream of another turn
	// of the program.
	Resumed bool
}

// CachedPrompt is a prompt in an instance's cache. Any gateway uses it as a hint to place the
// turns that continue it.
type CachedPrompt struct {
	Instance string
	// Born is when the instance started, in Unix milliseconds; 0 where that is not known, as in
	// charges written by gateways of earlier versions.
	Born uint64
	// Part identifies the last part of the prompt. All parts before it are cached as well.
	Part string
	// Tokens is the number of cached tokens, generated ones included.
	Tokens int
}

// ProgramCharge is a charge with its program.
type ProgramCharge struct {
	Program string
	Charge  Charge
	// Retention is how long the program's charges are kept after the last use.
	Retention time.Duration
}

// Request is one message to a replica. Exactly one of the pointers is set.
type Request struct {
	// Number matches replies to the requests of one connection.
	Number uint64
	// Epoch is the epoch of the replica set that the sender uses; only read for Reserve.
	Epoch     uint64
	Reserve   *Reserve
	Commit    *Commit
	Adopt     *Adopt
	Inventory *Inventory
	Fetch     *Fetch
	Chain     *Chain
	Hello     *replicaset.Node
	// Borrow is answered by the replica's quota lender, not by State.
	Borrow *quota.Borrow
	// ReadQuarantine requests all recorded runs of requests.
	ReadQuarantine *ReadQuarantine
}

// Kind returns the request's type as a metric label.
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
	case r.ReadQuarantine != nil:
		return "read_quarantine"
	default:
		return "hello"
	}
}

// Reserve asks for a reservation, for a turn's history, or for both.
type Reserve struct {
	// Program is "" when there is no budget to charge.
	Program string
	Charge  Charge
	// Retention is how long the program may be idle before its charges are dropped.
	Retention time.Duration
	// History is the turn whose chain is requested, or "".
	History string
	// Tenant is the tenant that sends the request.
	Tenant string
}

// Commit stores a finished turn, a final charge, or both.
type Commit struct {
	Turn *Turn
	// Ancestors are the preceding turns; sent when they are stored in another cell.
	Ancestors []Turn
	Program   string
	Charge    Charge
	Retention time.Duration
}

// Adopt sends a replica a newer membership. The durable reply confirms that the replica
// rejects reservations under older epochs from then on, and carries the next charges if
// they were requested.
type Adopt struct {
	Set replicaset.Set
	// Charges is the maximum number of charges in the reply; 0 requests none.
	Charges int
	// WithCharges requests all charges in one reply. It is for compatibility with the previous
	// version, which knows no other way: a replica that joined without the others' charges
	// would grant the same budgets again.
	WithCharges bool
	// After is the position up to which the sender has read this replica's charges.
	After HandoverPosition
}

// Inventory requests the ids of the turns that a replica has stored since a position.
type Inventory struct {
	// Boot is the run of the replica's process to which After belongs; another value reads
	// from the start.
	Boot  string
	After int
	// From is the disk of the sender. All turns up to After are durable on it.
	From string
}

// Fetch requests turns by id.
type Fetch struct {
	IDs []string
}

// Chain requests a turn and all its ancestors.
type Chain struct {
	ID string
}

// Reply is one message from a replica. A Reserve has two replies: the first accepts it and
// carries the charges, the second confirms that it is durable. Other requests have one.
type Reply struct {
	Number  uint64
	Disk    string
	Epoch   uint64
	Durable bool
	// Stale is set when the request's epoch is older than the replica's; the request
	// had no effect.
	Stale *replicaset.Set
	// Life identifies the run of the replica's process in both replies to a Reserve. A run that ended may have lost what it
	// accepted. Replicas of earlier versions leave it 0.
	Life uint32
	// Reserve is set in the first reply to a Reserve.
	Reserve *ReserveReply
	// Charges is set in the reply to an Adopt that requested charges; Handover describes
	// which of them it carries.
	Charges   []ProgramCharge
	Handover  *Handover
	Inventory *InventoryReply
	// Turns is the reply to a Fetch, or to a Chain with the newest turn first. It is empty for
	// a chain with a gap.
	Turns []Turn
	// Cut is set when the reply to a Fetch was truncated.
	Cut bool
	// Chain is set in the reply to a Chain.
	Chain bool
	// Settled is the newest epoch that the replica has settled. It is set in the replies to an Adopt and to an Inventory;
	// ReportsSettled is set beside it. Replicas of earlier versions set neither.
	Settled        uint64
	ReportsSettled bool
	// Loan is the reply to a Borrow.
	Loan *quota.Loan
	// Quarantine is the reply to a ReadQuarantine.
	Quarantine *QuarantineReply
}

// Kind returns the reply's type as a metric label.
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
	case r.Quarantine != nil:
		return "quarantine_reply"
	default:
		return "durable_reply"
	}
}

// ReserveReply is a replica's answer when it accepts a reservation.
type ReserveReply struct {
	// Recorded is set when the reservation is part of this replica's state.
	Recorded bool
	// Charges are all charges of the program, this one included.
	Charges []Charge
	// Found is set when this replica has the whole chain; History is its text, oldest first.
	Found    bool
	History  []byte
	Instance string
	// Missing is set when a history was requested that this replica does not have.
	Missing bool
	// Foreign is set when the turn belongs to another tenant. The tenant of a turn never
	// changes, so the answer of one replica is enough.
	Foreign bool
}

// InventoryReply lists turn ids in the order in which they were stored.
type InventoryReply struct {
	Boot     string
	IDs      []string
	Position int
	// More is set when further ids follow Position.
	More bool
	// Silent lists the disks of the voters that this replica has not received anything from for
	// UnreachableTimeout or longer.
	Silent []string
}

// Record is one entry of a replica's log. Exactly one of the fields is set.
type Record struct {
	Disk   string
	Turn   *Turn
	Charge *ProgramCharge
	Set    *replicaset.Set
	// Settled is an epoch that the replica has settled; 0 in other records.
	Settled uint64
	// Lent is written and replayed by the quota lender; State ignores it.
	Lent *quota.Lending
}
