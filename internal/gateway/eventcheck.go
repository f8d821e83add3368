package gateway

import (
	"strconv"

	"swiftbank.dev/swiftbank/internal/backend"
	"swiftbank.dev/swiftbank/internal/verdict"
)

// spareEvents is how many events more a stream may have than its tokens need.
const spareEvents = 1

// refuseEvent returns the failure of a stream whose next event cannot belong to it, or nil. Such an event is not passed
// on: it would be joined with what another instance sends, or stored with the turn.
func (t *turn) refuseEvent(next event) *backend.Failure {
	if most, bounded := t.mostEvents(); bounded && t.events >= most {
		return &backend.Failure{Verdict: verdict.Ran, AnswerInvalid: true, Reason: "the stream has more tokens than its request allows"}
	}
	if (t.route.Resumable || t.route.Retained) && next.data != nil && !rises(t.lastEvent, next.id) {
		return &backend.Failure{Verdict: verdict.MayHaveRun, AnswerInvalid: true, Reason: "the stream was interrupted: the id of an event does not follow the one before"}
	}
	return nil
}

// mostEvents returns the largest number of events that the turn may have; bounded is false if the request does not say how
// many tokens it may generate.
func (t *turn) mostEvents() (most int, bounded bool) {
	perEvent := int64(t.service.TokensPerEvent)
	if t.maxTokens <= 0 || perEvent <= 0 {
		return 0, false
	}
	return int((t.maxTokens+perEvent-1)/perEvent) + spareEvents, true
}

// rises reports whether the id of an event can follow another one, which is empty for the first event.
func rises(before, id string) bool {
	if id == "" {
		return false
	}
	first, firstErr := strconv.ParseUint(before, 10, 64)
	second, secondErr := strconv.ParseUint(id, 10, 64)
	if firstErr != nil || secondErr != nil {
		return id != before
	}
	return second > first
}
