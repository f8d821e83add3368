// Package feed spreads what the operators' shared store says through the fleet, so that
// a few processes read the store and all others learn from them.
//
// A process holds a Cache: the records of each kind, ordered by the store's one counter
// of revisions. It fills the cache either from an upstream, another process of the fleet
// that answers long polls, or by reading the store itself (Reader). Which of the two is
// decided by Selector. A process that is an upstream for others answers their polls
// (Poller) with what they lack: the records changed since their position, or a snapshot
// when that is no longer known.
//
// Replicas are upstreams, ranked by name within their zone. A replica follows only
// replicas of its zone that rank before it, so there are no cycles, and the first one that
// is alive and reaches the store reads it: one reader a zone in the ordinary case, more
// for moments while something fails. Gateways follow replicas of their zone, then of other
// zones, and read the store only after a drawn delay when no upstream has fresh knowledge.
//
// Order of calls: Cache, Selector and Poller are state machines without clock or I/O:
// the time and what happened go in, what to do comes out. Node drives them with sockets
// and timers. A replica loads the cache from its disk (CopyFile) before the first poll.
package feed
