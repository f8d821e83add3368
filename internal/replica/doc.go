// Package replica implements the process that stores turns and charges on a small disk:
// it applies requests to the ledger, syncs the log before it sends durable replies,
// catches up with the other replicas, and changes the membership of the replica
// set through the registry.
package replica
