// Package schedule decides where a call runs, when it waits and when it is
// refused. It is the part of a node that knows the back ends: their lagging load
// reports, this node's own dispatches since, what they hold in cache and how
// healthy they have been. It is pure: time and reports come in as arguments.
package schedule
