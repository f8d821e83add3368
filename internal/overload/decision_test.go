package overload_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/overload"
)

func TestWhoWaitsAndWhoIsRefused(t *testing.T) {
	now := time.Unix(1000, 0)
	full := overload.Capacity{Slots: 12, Busy: 12, Usual: 100 * time.Millisecond}
	calm := overload.Capacity{Slots: 12, Busy: 5, Usual: 100 * time.Millisecond}
	in := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	for _, c := range []struct {
		name     string
		request  overload.Request
		capacity overload.Capacity
		// vain is how many looks of others found no slot just before.
		vain int
		want overload.Verdict
	}{
		{"nearly sure to be served", overload.Request{Deadline: in(3000)}, full, 0, overload.Wait},
		{"no time left", overload.Request{Deadline: in(60)}, full, 0, overload.Reject},
		{"not likely to be served", overload.Request{Deadline: in(3000)}, full, 300, overload.Reject},
		{"a running program where a slot is possible", overload.Request{LaterOfProgram: true, Deadline: in(3000)}, full, 300, overload.Wait},
		{"a running program where none is", overload.Request{LaterOfProgram: true, Deadline: in(3000)}, full, 9000, overload.Reject},
		{"a new program that would begin late", overload.Request{FirstOfProgram: true, Deadline: in(3000), StartBy: in(40)}, full, 0, overload.Reject},
		{"slots are free", overload.Request{Deadline: in(3000)}, calm, 300, overload.Wait},
	} {
		t.Run(c.name, func(t *testing.T) {
			queue := overload.NewQueue()
			for i := range c.vain {
				queue.Decide(now, overload.Request{ID: fmt.Sprint(i), Deadline: in(3000)}, c.capacity)
			}
			decision := queue.Decide(now, c.request, c.capacity)
			require.Equal(t, c.want, decision.Verdict, "%+v", decision)
			if decision.Verdict == overload.Reject {
				require.LessOrEqual(t, decision.RetryAfter, max(20*time.Millisecond, c.request.Deadline.Sub(now)/2))
				require.Positive(t, decision.RetryAfter)
			}
		})
	}
}

func TestNewProgramsAskOnlyWhilePlacesAreFree(t *testing.T) {
	queue := overload.NewQueue()
	for _, c := range []struct {
		request overload.Request
		taken   int
		slots   int
		want    bool
	}{
		{overload.Request{FirstOfProgram: true}, 99, 100, true},
		{overload.Request{FirstOfProgram: true}, 100, 100, false},
		{overload.Request{FirstOfProgram: true, RouteRank: 1}, 89, 100, true},
		{overload.Request{FirstOfProgram: true, RouteRank: 1}, 90, 100, false},
		{overload.Request{FirstOfProgram: true, TenantRank: 1}, 90, 100, false},
		{overload.Request{LaterOfProgram: true, RouteRank: 1}, 100, 100, true},
		{overload.Request{FirstOfProgram: true}, 0, 0, true}, // somebody must find out when they are back
	} {
		require.Equal(t, c.want, queue.Admits(c.request, overload.Capacity{Slots: c.slots, Busy: c.taken}), "%+v", c)
	}
}

func TestNewProgramsHoldOffWhileStreamsBeginSlowly(t *testing.T) {
	queue := overload.NewQueue()
	const objective = 200 * time.Millisecond
	urgent := overload.Request{FirstOfProgram: true, LatencyObjective: objective}
	less := overload.Request{FirstOfProgram: true, LatencyObjective: objective, RouteRank: 1}
	for _, c := range []struct {
		request overload.Request
		busy    int
		first   time.Duration
		want    bool
	}{
		{urgent, 80, 140 * time.Millisecond, true},
		{less, 80, 130 * time.Millisecond, false},
		{urgent, 80, 160 * time.Millisecond, false},
		{urgent, 49, 160 * time.Millisecond, true}, // slow for another reason than their number
		{overload.Request{LaterOfProgram: true, LatencyObjective: objective}, 80, time.Second, true},
	} {
		require.Equal(t, c.want, queue.Admits(c.request, overload.Capacity{Slots: 100, Busy: c.busy, RecentFirst: c.first}), "%+v", c)
	}
}

func TestRefusedCallersAreSpread(t *testing.T) {
	now := time.Unix(1000, 0)
	seen := map[time.Duration]bool{}
	for i := range 100 {
		request := overload.Request{ID: fmt.Sprint(i), FirstOfProgram: true, Deadline: now.Add(3 * time.Second), StartBy: now}
		decision := overload.NewQueue().Decide(now, request, overload.Capacity{Slots: 1, Busy: 1, Usual: 200 * time.Millisecond})
		seen[decision.RetryAfter/(20*time.Millisecond)] = true
	}
	require.Greater(t, len(seen), 8, "they come back in many moments")
}

// The last poll of a request that is refused everywhere must leave an instance the time to refuse
// it: its caller got a 504 for a request that nobody took.
func TestTheLastPollLeavesTimeForARefusal(t *testing.T) {
	calm := overload.Capacity{Slots: 12}
	for _, whole := range []time.Duration{200 * time.Millisecond, time.Second, 10 * time.Second} {
		queue := overload.NewQueue()
		arrived := time.Unix(1000, 0)
		request := overload.Request{ID: "a", Arrived: arrived, Deadline: arrived.Add(whole)}
		now := arrived
		for {
			decision := queue.Decide(now, request, calm)
			if decision.Verdict == overload.Reject {
				break
			}
			now = now.Add(decision.Pause)
		}
		require.GreaterOrEqual(t, request.Deadline.Sub(now), min(100*time.Millisecond, whole/10), "of %s", whole)
	}
}
