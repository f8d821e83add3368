package overload_test

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/overload"
)

// onTime are reports that are neither lost nor late.
var onTime = reports{}

// played plays a load with some seeds and adds up what became of the callers.
func played(t *testing.T, name string, seeds uint64, way orderWay, travel reports, prepare func(*ordered)) (urgent, usual outcome, measured measures) {
	pattern := readLoad(t, filepath.Join("order", name))
	for seed := range seeds {
		o := newOrdered(pattern, seed+1, way, travel)
		if prepare != nil {
			prepare(o)
		}
		o.play(o.unfold)
		urgent, usual = urgent.plus(*o.of("urgent")), usual.plus(*o.of("usual"))
		measured = measured.plus(o.measured)
	}
	t.Logf("%s, way %d: urgent %+v, usual %+v, %+v", name, way, urgent, usual, measured)
	return urgent, usual, measured
}

// Less urgent programs that unfold make urgent ones late while every turn looks for a slot at
// once. In one order of waiting more urgent programs end in time, whatever the number of
// gateways, and while bursts follow one another or instances leave.
func TestUrgentProgramsEndInTimeWhileOthersUnfold(t *testing.T) {
	for name, seeds := range map[string]uint64{"unfolding-over-urgent": 2, "unfolding-over-urgent-70": 1, "bursts-in-a-row": 2, "engines-leave": 2} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			before, _, _ := played(t, name, seeds, polling, onTime, nil)
			kept, usual, _ := played(t, name, seeds, level, onTime, nil)
			require.Greater(t, kept.InTime, before.InTime)
			require.Less(t, kept.Late, before.Late)
			require.Zero(t, usual.Failed, "held turns are served")
		})
	}
}

// A coordinator that hears of the load as late as all others keeps no more urgent programs in
// time, and takes messages for each turn that asks.
func TestTheOrderNeedsNoCoordinator(t *testing.T) {
	t.Parallel()
	kept, _, without := played(t, "unfolding-over-urgent", 1, level, onTime, nil)
	granted, _, with := played(t, "unfolding-over-urgent", 1, coordinator, onTime, nil)
	require.Greater(t, float64(kept.InTime), 0.9*float64(granted.InTime))
	require.Zero(t, without.messages)
	require.Greater(t, with.messages, with.held)
}

func TestTheOrderHoldsWithLateLostAndDoubledReports(t *testing.T) {
	for name, travel := range map[string]reports{
		"late": {late: 400 * time.Millisecond}, "lost": {lost: 0.3}, "doubled": {doubled: 0.3},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			before, _, _ := played(t, "unfolding-over-urgent", 1, polling, travel, nil)
			kept, _, _ := played(t, "unfolding-over-urgent", 1, level, travel, nil)
			require.Greater(t, kept.InTime, before.InTime)
		})
	}
}

// What a gateway told before it fell silent counts for a moment only.
func TestASilentReporterHoldsNobodyBack(t *testing.T) {
	t.Parallel()
	travel := reports{silent: 3, silentFrom: 8 * time.Second}
	before, _, _ := played(t, "unfolding-over-urgent", 1, polling, travel, nil)
	kept, usual, _ := played(t, "unfolding-over-urgent", 1, level, travel, nil)
	require.Greater(t, kept.InTime, before.InTime)
	require.Zero(t, usual.Failed)
}

// A gateway that starts in a burst has learned nothing; the others tell it.
func TestAGatewayThatStartsInABurstKeepsTheOrder(t *testing.T) {
	t.Parallel()
	restart := func(o *ordered) { o.after(8*time.Second, func() { o.restart(3) }) }
	before, _, _ := played(t, "unfolding-over-urgent", 1, polling, onTime, nil)
	kept, _, _ := played(t, "unfolding-over-urgent", 1, level, onTime, restart)
	require.Greater(t, kept.InTime, before.InTime)
}

// Of turns that wait at many gateways about as many go as there is room for until the
// gateways hear of each other.
func TestTurnsOfManyGatewaysDoNotGoAtOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	const gateways, waitingEach, free = 70, 3, 20
	room := overload.Room{Slots: 200, Busy: 100 - free, Bearable: 0.5}
	full := overload.Room{Slots: 200, Busy: 200, Bearable: 0.5}
	went := 0
	for gateway := range gateways {
		order := overload.NewOrder()
		var turns []overload.Turn
		for number := range waitingEach {
			turn := overload.Turn{ID: turnID(gateway, number), RouteRank: 1, Arrived: now, Longest: 10 * time.Second}
			require.False(t, order.Ask(now, turn, full, nil).Go)
			turns = append(turns, turn)
		}
		elsewhere := overload.OrderFigures{}
		for class, count := range order.Figures(now) {
			elsewhere[class] = count * (gateways - 1)
		}
		const looksUntilHeard = 4
		for range looksUntilHeard {
			for _, turn := range turns {
				if order.Ask(now, turn, room, elsewhere).Go {
					went++
				}
			}
		}
	}
	require.LessOrEqual(t, went, 2*free)
	require.GreaterOrEqual(t, went, free/2)
}
