// Package admission decides whether a new program may start. A program is a chain of dependent
// requests (turns) whose caller needs only the result of the last one. It uses one slot at first
// and may use several a moment later. If programs were admitted whenever slots are free, the
// fan-outs of active programs would coincide, all requests would take longer, and all programs
// would miss their deadlines.
//
// A program is therefore admitted only if the slot limit exceeds the forecast demand of active
// programs plus the demand expected from more urgent ones. The slot limit is the number of slots
// that may be busy before requests slow each other down by more than programs can tolerate. None of
// this is configured: each gateway learns the demand of each kind of program and the slowdown under
// load, merges what other gateways report, and decides locally on the sums.
//
// The package does no I/O, reads no clock and takes no locks: the caller passes the time and every
// event, and serializes calls. The order of calls is Decide for the first request of a program
// until it is admitted, ProgramStarted once an instance accepts it, TurnCompleted for each request
// answered in full, and TurnFailed for each later request that was not. Figures returns the report
// for other gateways, ReplaceReport stores theirs. Snapshot returns the state that outlives a
// restart, Restore loads it.
package admission
