// Package core is the decision logic of one node: replication of its shards,
// routing of calls to their shard's leader, the life of a call, budgets,
// configuration, drain and the release of engine memory.
//
// It is a pure state machine. Step takes the time and one event and returns
// actions, which the owner carries out in order. The live node (package node)
// and the simulator (package simulate) drive this same code. Nothing in here
// reads a clock, opens a socket, starts a goroutine or depends on map order.
//
// # The life of a call
//
// A caller reaches any node, its gateway. The gateway routes the call to the
// leader of the session's shard (routing.go). The leader checks it against the
// session's record, the configuration and the tenant's allowance, queues it for
// a back end (calls.go) and proposes a Begin entry. When that entry is committed,
// the member named in it as dispatcher sends the call (attempts.go). The outcome
// becomes a Finish entry, and only when that is committed is the caller answered.
//
// When a leader is lost, the next one goes through the calls in progress
// (takeover.go): it resumes engine streams, repeats what may be repeated, and
// records "may have run" for what may not.
package core
