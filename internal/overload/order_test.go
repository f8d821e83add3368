package overload_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"swiftbank.dev/swiftbank/internal/overload"
)

func turnID(gateway, number int) string { return fmt.Sprintf("t%d-%d", gateway, number) }

var (
	noRoom  = overload.Room{Slots: 100, Busy: 100, Bearable: 0.5}
	oneSlot = overload.Room{Slots: 100, Busy: 49, Bearable: 0.5}
)

func TestUrgentTurnsNeverWait(t *testing.T) {
	now := time.Unix(1000, 0)
	urgent := overload.Turn{ID: "a", TenantRank: 2, Arrived: now, Longest: time.Second}
	require.Equal(t, overload.TurnDecision{Go: true, Reason: overload.ReasonUrgent}, overload.NewOrder().Ask(now, urgent, noRoom, nil))
}

func TestATurnWithoutKnownSlackGoesAtOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	decision := overload.NewOrder().Ask(now, overload.Turn{ID: "a", RouteRank: 1, Arrived: now}, noRoom, nil)
	require.Equal(t, overload.ReasonNoSlack, decision.Reason)
}

// Whatever is told, a turn goes after the longest time for which it may be held.
func TestNoTurnIsHeldForLongerThanItMay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		longest := time.Duration(rapid.IntRange(1, 3000).Draw(t, "longest")) * time.Millisecond
		turn := overload.Turn{ID: "a", RouteRank: rapid.IntRange(0, 2).Draw(t, "rank"), Late: rapid.Bool().Draw(t, "late"), Arrived: now, Longest: longest}
		order := overload.NewOrder()
		elsewhere := overload.OrderFigures{}
		for figure := range overload.OrderFigureCount {
			elsewhere[figure] = rapid.Float64Range(0, 1e6).Draw(t, "figure")
		}
		room := overload.Room{Slots: rapid.IntRange(0, 1000).Draw(t, "slots"), Busy: rapid.IntRange(0, 1000).Draw(t, "busy"), Bearable: rapid.Float64Range(0, 1).Draw(t, "bearable")}
		for {
			decision := order.Ask(now, turn, room, elsewhere)
			if decision.Go {
				break
			}
			require.Positive(t, decision.Pause)
			now = now.Add(decision.Pause)
		}
		require.LessOrEqual(t, now.Sub(turn.Arrived), longest)
		require.Zero(t, order.Waiting(now, nil))
	})
}

// The last slot goes to the turn that must go next, at whatever gateway it waits; a late
// program's turn comes after those of programs that can end in time.
func TestMoreUrgentTurnsElsewhereGoFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	waits := func(turn overload.Turn) (*overload.Order, overload.OrderFigures) {
		order := overload.NewOrder()
		require.False(t, order.Ask(now, turn, noRoom, nil).Go)
		return order, order.Figures(now)
	}
	inTime := overload.Turn{ID: "in time", RouteRank: 1, Arrived: now, Longest: time.Second}
	late := overload.Turn{ID: "late", Late: true, Arrived: now, Longest: time.Second}
	orderInTime, toldInTime := waits(inTime)
	orderLate, toldLate := waits(late)
	require.False(t, orderLate.Ask(now, late, oneSlot, toldInTime).Go)
	require.True(t, orderInTime.Ask(now, inTime, oneSlot, toldLate).Go)

	older, olderTold := waits(overload.Turn{ID: "older", RouteRank: 1, Arrived: now.Add(-800 * time.Millisecond), Longest: time.Second})
	newer, newerTold := waits(inTime)
	require.False(t, newer.Ask(now, inTime, oneSlot, olderTold).Go, "less time to wait is more urgent")
	require.True(t, older.Ask(now, overload.Turn{ID: "older", RouteRank: 1, Arrived: now.Add(-800 * time.Millisecond), Longest: time.Second}, oneSlot, newerTold).Go)
}

func TestACallerThatLeftWaitsNoLonger(t *testing.T) {
	now := time.Unix(1000, 0)
	order := overload.NewOrder()
	order.Ask(now, overload.Turn{ID: "a", RouteRank: 1, Arrived: now, Longest: time.Second}, noRoom, nil)
	require.Equal(t, 1, order.Waiting(now, nil))
	order.Left("a")
	require.Zero(t, order.Waiting(now, nil))
}

// Programs of four turns, 300 ms apart, have 500 ms more than they usually take. Turns take 100
// ms with few others at their instance, 200 ms at half of its slots, 400 ms at all.
func learned(t *testing.T) (*overload.Order, time.Time) {
	now := time.Unix(1000, 0)
	order := overload.NewOrder()
	require.Equal(t, 1.0, order.Bearable(nil))
	const turns, between, slack = 4, 300 * time.Millisecond, 500 * time.Millisecond
	for program := range 200 {
		for number := range turns {
			now = now.Add(between)
			order.Observe(now, 0, strconv.Itoa(program), number == 0, true, turns*between+slack-time.Duration(number)*between)
		}
		order.Took(0, 8, 100*time.Millisecond)
		order.Took(4, 8, 200*time.Millisecond)
		order.Took(8, 8, 400*time.Millisecond)
	}
	return order, now
}

// Three quarters of the slack over four turns are 94 ms, which turns take longer just below the
// part of the slots at which they take 100 ms longer.
func TestTheBearableShareFollowsFromTheSlackOfUrgentPrograms(t *testing.T) {
	order, now := learned(t)
	require.InDelta(t, 0.6, order.Bearable(nil), 0.03)
	started := overload.NewOrder()
	require.Equal(t, order.Bearable(nil), started.Bearable(order.Figures(now)), "a gateway that has just started goes by what others learned")
}

// Programs that meet an overload take longer than usual, and are late for that.
func TestAnOverloadTeachesNothingOfUsualTimes(t *testing.T) {
	order, now := learned(t)
	before := order.Figures(now)
	for number := range 100 {
		order.Observe(now, 0, "199", false, false, -2*time.Second)
		now = now.Add(10 * time.Millisecond)
		order.Observe(now, 0, "199", false, number%2 == 0, -2*time.Second)
	}
	require.Equal(t, before, order.Figures(now))
}
