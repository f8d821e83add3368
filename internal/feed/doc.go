// Package feed distributes the contents of the operators' shared store through the fleet:
// a few processes read the store, and all others follow them.
//
// A process holds a Cache: the records of each kind, ordered by the store's single
// revision counter. It fills the cache either from an upstream, which is another process
// of the fleet that answers long polls, or by reading the store itself (readStore).
// Selector decides which of the two. A process that is an upstream answers the polls of
// its followers (PendingPolls) with the records changed since their position, or with a
// snapshot when the changes since that position are no longer known.
//
// Replicas are upstreams, ranked by name within their zone. A replica follows only
// replicas of its zone that rank before it, so there are no cycles, and the first one that
// is alive and reaches the store reads it: normally one reader a zone, and more for a
// short time during failures. Gateways follow replicas of their zone, then of other
// zones, and read the store only after a randomized delay when no upstream has fresh data.
//
// Cache, Selector and PendingPolls are state machines without clock or I/O: callers pass
// in the time and the events and carry out the returned actions. Node drives them with
// sockets and timers. A replica loads the cache from its disk (CopyFile) before the first
// poll.
package feed
