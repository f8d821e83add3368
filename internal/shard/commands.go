package shard

import (
	"encoding/gob"
	"time"

	"swiftbank.dev/swiftbank/internal/verdict"
)

// Begin records the intent to run a new call, or a call whose recorded outcome
// is not_run, before the first byte goes to a back end.
type Begin struct {
	Request Request
	// The template in force, used when the call opens the session.
	TemplateRevision uint64
	Limits           Limits
	// ConfigRevision is the configuration that the decision was made with.
	ConfigRevision uint64
	BudgetVersion  uint64
	Reserve        int64
	BackEnd        string
	// EnginePriority is what the engine is told; it serves higher values first.
	EnginePriority int
	Dispatcher     string
	Explanation    string
	At             time.Time
}

// Retry records the intent of another attempt at a call in progress.
type Retry struct {
	ID      CallID
	Attempt int
	// Resume takes up the engine stream of the previous attempt instead of
	// starting a new one; the reservation goes over unchanged.
	Resume bool
	// PreviousVerdict is what is known of the previous attempt.
	PreviousVerdict verdict.Verdict
	// ConfigRevision is the configuration that the decision was made with.
	ConfigRevision uint64
	BudgetVersion  uint64
	Reserve        int64
	BackEnd        string
	// EnginePriority is what the engine is told; it serves higher values first.
	EnginePriority int
	Dispatcher     string
	Explanation    string
	At             time.Time
}

// Finish records the outcome of an attempt.
type Finish struct {
	Attempt AttemptID
	Outcome Outcome
}

// EndSession ends a session: no further calls, and its engine memory is released.
type EndSession struct {
	Key SessionKey
	At  time.Time
}

// ReleaseDone records that an engine confirmed a release.
type ReleaseDone struct {
	Release Release
}

// Grant is applied by the shard that keeps a tenant's ledger. It gives an
// allowance to another shard. Number makes a repeated request harmless.
type Grant struct {
	Tenant  string
	Shard   uint32
	Number  uint64
	Want    int64
	Limit   int64
	Version uint64
}

// AddAllowance is applied by the shard that asked for an allowance.
type AddAllowance struct {
	Tenant  string
	Number  uint64
	Amount  int64
	Version uint64
}

// ReturnAllowance sets all unspent allowance aside for return to the ledger.
type ReturnAllowance struct {
	Tenant  string
	Version uint64
}

// CreditReturn is applied by the ledger's shard for an allowance that came back.
type CreditReturn struct {
	Tenant string
	Shard  uint32
	Number uint64
	Amount int64
}

// ReturnDone records that the ledger credited a return.
type ReturnDone struct {
	Tenant string
	Number uint64
}

// Purge forgets sessions that ended before a time, and the tombstones of those
// that were forgotten before another.
type Purge struct {
	EndedBefore      time.Time
	TombstonesBefore time.Time
}

// Barrier changes nothing. Its commit shows that its proposer still leads.
type Barrier struct{}

// RegisterGob makes the commands and the state known to encoding/gob.
func RegisterGob() {
	for _, value := range []any{
		Begin{}, Retry{}, Finish{}, EndSession{}, ReleaseDone{}, Grant{}, AddAllowance{},
		ReturnAllowance{}, CreditReturn{}, ReturnDone{}, Barrier{}, Purge{}, &State{},
	} {
		gob.Register(value)
	}
}
