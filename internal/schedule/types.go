package schedule

import (
	"fmt"
	"slices"
	"time"

	"swiftbank.dev/swiftbank/internal/shard"
)

// BackEnd is one instance of a service, as the platform's machine list and the
// instance's own reports describe it.
type BackEnd struct {
	Name    string
	Service string
	Kind    shard.CallKind
	Zone    string
	Address string
	// Models lists what an engine has loaded; empty for other kinds.
	Models []string
	// Slots is how many calls the instance runs at once.
	Slots int
	// CacheTokens is the size of an engine's prefix cache.
	CacheTokens int64
	// Leaving instances get no new calls.
	Leaving bool
}

// Work is one call that waits for a back end.
type Work struct {
	Call    shard.CallID
	Program string
	Kind    shard.CallKind
	Service string
	Model   string
	// Priority comes from the tenant's parameters; higher goes first.
	Priority int
	// PromptTokens is the whole prompt, history included.
	PromptTokens int64
	MaxTokens    int64
	// ServedTokens is the service the program has had so far.
	ServedTokens int64
	// CachedOn lists engines that served the session before, in order of use.
	CachedOn []string
	// Avoid lists back ends that failed an earlier attempt of this call.
	Avoid      []string
	EnqueuedAt time.Time
	// Deadline is when the caller gives up; zero means never.
	Deadline time.Time
}

// Assignment is the decision to run a call on a back end.
type Assignment struct {
	Work    Work
	BackEnd string
	// EnginePriority is passed to the engine, which serves higher values first.
	EnginePriority int
	// Explanation says in one line why this back end was chosen.
	Explanation string
}

// LoadReport is what a back end says of itself; it arrives with a lag.
type LoadReport struct {
	BackEnd string
	// Running and Waiting count calls from all nodes at MeasuredAt.
	Running int
	Waiting int
	// CachedTokens is the part of the prefix cache in use.
	CachedTokens int64
	// Leaving is the back end's own word that it takes no new calls. The machine
	// list may say so later, or not at all while the platform is down.
	Leaving    bool
	MeasuredAt time.Time
}

// Policy is how back ends are chosen for engine calls. All but Swiftbank are
// baselines, kept to measure against.
type Policy uint8

// The policies.
const (
	Swiftbank Policy = iota
	RoundRobin
	LeastLoaded
	SessionSticky
	PrefixHash
)

var policyNames = []string{"swiftbank", "round-robin", "least-loaded", "session-sticky", "prefix-hash"}

// String returns the policy's name.
func (p Policy) String() string { return policyNames[p] }

// ParsePolicy returns the policy with a name.
func ParsePolicy(name string) (Policy, error) {
	place := slices.Index(policyNames, name)
	if place < 0 {
		return 0, fmt.Errorf("unknown policy %q; known are %v", name, policyNames)
	}
	return Policy(place), nil
}
