// Package raft replicates one shard's command log over a small set of members.
//
// It is a pure state machine after Ongaro's thesis "Consensus: Bridging Theory
// and Practice" (2014): no socket, goroutine, clock or random source of its
// own. The owner calls Step with each received message, Tick with the time, and
// Propose with new commands; after every such call it drains Ready, applies the
// committed entries at once and in order, and sends the messages.
//
// It differs from the thesis in four ways, each for the number of groups a
// node carries:
//
//   - There are no heartbeats. A group without uncommitted entries sends
//     nothing. Whether a leader is alive comes from a failure detector that all
//     groups of a node share (Liveness).
//   - A member is one incarnation of a node. A node that restarts without its
//     state is a new member, so a vote or an acknowledged entry can never be
//     forgotten by a member that still counts in a quorum.
//   - The first entry of each term carries the membership, so a member that was
//     created by a message learns who the voters are.
//   - There are no clock-bound leases. A leader acts only on committed entries,
//     so a paused leader that wakes is fenced by the quorum's newer term and
//     clock skew cannot make two leaders act.
package raft
