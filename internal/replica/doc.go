// Package replica is the process that keeps turns and charges on a small disk: it
// applies requests to the ledger, syncs the log before it answers "durable",
// catches up with the other replicas, and changes the membership of the replica
// set through the registry.
package replica
