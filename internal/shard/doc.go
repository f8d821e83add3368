// Package shard is the replicated state machine of one shard: the sessions that
// hash to it with their histories and call outcomes, the token allowances that
// its sessions spend from, and the budget ledgers of the tenants that hash to it.
//
// Commands are proposed by the shard's leader and applied by every replica in
// log order. Apply is deterministic: time and choices come with the command.
// State holds what must survive; queues, timers and connections belong to the
// leader and are rebuilt by the next one.
package shard
