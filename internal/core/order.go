package core

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"swiftbank.dev/swiftbank/internal/raft"
	"swiftbank.dev/swiftbank/internal/shard"
)

// now returns the time of the step in progress.
func (n *Node) now() time.Time { return n.stepTime }

// nodeOf returns the node of a member.
func nodeOf(id raft.MemberID) string {
	node, _, _ := strings.Cut(string(id), "#")
	return node
}

// sortedKeys returns the session keys of a map in order, so that what follows
// does not depend on map order.
func sortedKeys[V any](m map[shard.SessionKey]V) []shard.SessionKey {
	return slices.SortedFunc(maps.Keys(m), shard.CompareKeys)
}

// sortedCalls returns the call ids of a map in order.
func sortedCalls[V any](m map[shard.CallID]V) []shard.CallID {
	return slices.SortedFunc(maps.Keys(m), compareCalls)
}

// sortedAttempts returns the attempt ids of a map in order.
func sortedAttempts[V any](m map[shard.AttemptID]V) []shard.AttemptID {
	return slices.SortedFunc(maps.Keys(m), func(a, b shard.AttemptID) int {
		if order := compareCalls(a.Call, b.Call); order != 0 {
			return order
		}
		return cmp.Compare(a.Attempt, b.Attempt)
	})
}

func compareCalls(a, b shard.CallID) int {
	if order := shard.CompareKeys(a.Key, b.Key); order != 0 {
		return order
	}
	return cmp.Compare(a.Sequence, b.Sequence)
}
