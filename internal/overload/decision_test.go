package overload_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/overload"
)

func TestDecideWaitsOrRejects(t *testing.T) {
	now := time.Unix(1000, 0)
	full := overload.Capacity{Slots: 12, Busy: 12, Usual: 100 * time.Millisecond}
	halfBusy := overload.Capacity{Slots: 12, Busy: 5, Usual: 100 * time.Millisecond}
	in := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	for _, c := range []struct {
		name     string
		request  overload.Request
		capacity overload.Capacity
		// failedPolls is how many polls of other requests have just found no slot.
		failedPolls int
		want        overload.Verdict
	}{
		{"likely to be served", overload.Request{Deadline: in(3000)}, full, 0, overload.Wait},
		{"no time left", overload.Request{Deadline: in(60)}, full, 0, overload.Reject},
		{"unlikely to be served", overload.Request{Deadline: in(3000)}, full, 300, overload.Reject},
		{"running program and a slot is possible", overload.Request{LaterOfProgram: true, Deadline: in(3000)}, full, 300, overload.Wait},
		{"running program and no slot is likely", overload.Request{LaterOfProgram: true, Deadline: in(3000)}, full, 9000, overload.Reject},
		{"new program that would start late", overload.Request{FirstOfProgram: true, Deadline: in(3000), StartBy: in(40)}, full, 0, overload.Reject},
		{"slots are free", overload.Request{Deadline: in(3000)}, halfBusy, 300, overload.Wait},
	} {
		t.Run(c.name, func(t *testing.T) {
			queue := overload.NewQueue()
			for i := range c.failedPolls {
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

func TestNewProgramsPollOnlyWhileSlotsAreFree(t *testing.T) {
	queue := overload.NewQueue()
	for _, c := range []struct {
		request overload.Request
		busy    int
		slots   int
		want    bool
	}{
		{overload.Request{FirstOfProgram: true}, 99, 100, true},
		{overload.Request{FirstOfProgram: true}, 100, 100, false},
		{overload.Request{FirstOfProgram: true, RouteRank: 1}, 89, 100, true},
		{overload.Request{FirstOfProgram: true, RouteRank: 1}, 90, 100, false},
		{overload.Request{FirstOfProgram: true, TenantRank: 1}, 90, 100, false},
		{overload.Request{LaterOfProgram: true, RouteRank: 1}, 100, 100, true},
		{overload.Request{FirstOfProgram: true}, 0, 0, true}, // requests must still be sent, to detect instances that recover
	} {
		require.Equal(t, c.want, queue.Admits(c.request, overload.Capacity{Slots: c.slots, Busy: c.busy}), "%+v", c)
	}
}

func TestNewProgramsAreHeldWhileFirstEventsAreSlow(t *testing.T) {
	queue := overload.NewQueue()
	const objective = 200 * time.Millisecond
	urgent := overload.Request{FirstOfProgram: true, LatencyObjective: objective}
	lessUrgent := overload.Request{FirstOfProgram: true, LatencyObjective: objective, RouteRank: 1}
	for _, c := range []struct {
		request     overload.Request
		busy        int
		recentFirst time.Duration
		want        bool
	}{
		{urgent, 80, 140 * time.Millisecond, true},
		{lessUrgent, 80, 130 * time.Millisecond, false},
		{urgent, 80, 160 * time.Millisecond, false},
		{urgent, 49, 160 * time.Millisecond, true}, // utilization is low, so load is not the cause
		{overload.Request{LaterOfProgram: true, LatencyObjective: objective}, 80, time.Second, true},
	} {
		require.Equal(t, c.want, queue.Admits(c.request, overload.Capacity{Slots: 100, Busy: c.busy, RecentFirst: c.recentFirst}), "%+v", c)
	}
}

func TestRetryAfterIsJittered(t *testing.T) {
	now := time.Unix(1000, 0)
	buckets := map[time.Duration]bool{}
	for i := range 100 {
		request := overload.Request{ID: fmt.Sprint(i), FirstOfProgram: true, Deadline: now.Add(3 * time.Second), StartBy: now}
		decision := overload.NewQueue().Decide(now, request, overload.Capacity{Slots: 1, Busy: 1, Usual: 200 * time.Millisecond})
		buckets[decision.RetryAfter/(20*time.Millisecond)] = true
	}
	require.Greater(t, len(buckets), 8, "retries are spread out")
}

// The last poll of a request that all instances refuse must leave time for the refusal: otherwise
// the caller got a 504 for a request that never ran.
func TestLastPollLeavesTimeForARejection(t *testing.T) {
	idle := overload.Capacity{Slots: 12}
	for _, timeout := range []time.Duration{200 * time.Millisecond, time.Second, 10 * time.Second} {
		queue := overload.NewQueue()
		arrived := time.Unix(1000, 0)
		request := overload.Request{ID: "a", Arrived: arrived, Deadline: arrived.Add(timeout)}
		now := arrived
		for {
			decision := queue.Decide(now, request, idle)
			if decision.Verdict == overload.Reject {
				break
			}
			now = now.Add(decision.Pause)
		}
		require.GreaterOrEqual(t, request.Deadline.Sub(now), min(100*time.Millisecond, timeout/10), "of %s", timeout)
	}
}
