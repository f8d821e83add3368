package backend

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Whatever order changes come in, the directory knows what one that was told all at once knows.
func TestChangesLeadToTheWholeList(t *testing.T) {
	const instances, steps = 40, 400
	random := rand.New(rand.NewPCG(1, 2))
	d := NewDirectory("a")
	listed := map[string]Instance{}
	d.ApplyChanges(start, Changes{Snapshot: true}, false)
	for step := range steps {
		now := start.Add(time.Duration(step) * 10 * time.Millisecond)
		var changes Changes
		most := 4
		if step%5 == 0 {
			most = instances
		}
		for range 1 + random.IntN(most) {
			id := fmt.Sprintf("e%02d", random.IntN(instances))
			if slices.ContainsFunc(changes.Listed, func(i Instance) bool { return i.ID == id }) || slices.Contains(changes.Removed, id) {
				continue
			}
			if random.IntN(3) == 0 {
				changes.Removed = append(changes.Removed, id)
				delete(listed, id)
				continue
			}
			instance := Instance{
				ID: id, Service: fmt.Sprint("s", random.IntN(2)), Zone: string(rune('a' + random.IntN(2))), Slots: 4,
				Leaving: random.IntN(4) == 0, Born: listed[id].Born + uint64(random.IntN(2)),
			}
			changes.Listed = append(changes.Listed, instance)
			listed[id] = instance
		}
		d.ApplyChanges(now, changes, false)
		whole := NewDirectory("a")
		whole.Update(now, slices.Collect(maps.Values(listed)), false)
		require.Equal(t, entriesOf(whole.byService), entriesOf(d.byService), step)
		require.Equal(t, entriesOf(whole.near), entriesOf(d.near), step)
		require.Equal(t, len(listed), d.Size())
	}
}

// entriesOf returns the entries of lists of members; services without any are left out.
func entriesOf(lists map[string][]*member) map[string][]Instance {
	entries := map[string][]Instance{}
	for service, list := range lists {
		for _, known := range list {
			entries[service] = append(entries[service], known.instance)
		}
	}
	return entries
}

// One change among ten thousand instances must cost no more than among a hundred: a fleet of n
// gateways that are told of each change of m instances would do n times m squared work.
func TestTheWorkOfAChangeDoesNotGrowWithTheInstances(t *testing.T) {
	allocations := func(count int) float64 {
		d := NewDirectory("z")
		all := engines(count)
		d.Update(start, all, false)
		return testing.AllocsPerRun(10, func() {
			all[7].Leaving = !all[7].Leaving
			d.ApplyChanges(start, Changes{Listed: all[7:8]}, false)
			d.ApplyChanges(start, Changes{Removed: []string{all[8].ID}}, false)
			d.ApplyChanges(start, Changes{Listed: all[8:9]}, false)
		})
	}
	require.InDelta(t, allocations(100), allocations(10_000), 10)
}

// What a gateway has in flight is told many times a second: only instances with requests of it
// are looked at.
func TestLoadsLookAtLoadedInstancesOnly(t *testing.T) {
	d := NewDirectory("z")
	d.Update(start, engines(1000), false)
	first, _ := d.Pick(start, Demand{Service: "llm"})
	second, _ := d.Pick(start, Demand{Service: "llm"})
	require.Len(t, d.Loads(start), 2)
	d.EndFailed(start, first, Failed)
	d.End(start, second, Answered)
	require.Equal(t, map[string]int{first.Instance.ID: 1}, d.Loads(start), "what failed at once counts on")
	require.Empty(t, d.Loads(start.Add(maxHold)))
	require.Empty(t, d.loaded)
}

func TestAnInstanceThatStartsAgainHoldsNothingOfBefore(t *testing.T) {
	prompt := []PromptPart{{ID: "p", Tokens: 4000}}
	demand := Demand{Service: "llm", Generates: true, PromptParts: prompt}
	before := Instance{ID: "e", Service: "llm", Zone: "z", Slots: 4, Address: "10.0.0.1:1", Born: 100}
	for name, test := range map[string]struct {
		change func(*Instance)
		reborn bool
	}{
		"a later start":                         {func(i *Instance) { i.Born = 101 }, true},
		"another address, and it does not say":  {func(i *Instance) { i.Address, i.Born = "10.0.0.2:1", 0 }, true},
		"the same life leaves":                  {func(i *Instance) { i.Leaving = true }, false},
		"an entry that does not say, unchanged": {func(i *Instance) { i.Born = 0 }, false},
	} {
		t.Run(name, func(t *testing.T) {
			d := NewDirectory("z")
			d.Update(start, []Instance{before}, false)
			running, found := d.Pick(start, demand)
			require.True(t, found)
			d.SetRemoteLoads(start, LoadSource{Gateway: "g2"}, map[string]int{"e": 3})
			after := before
			test.change(&after)
			ended := d.ApplyChanges(start, Changes{Listed: []Instance{after}}, false)
			known := d.members["e"]
			if !test.reborn {
				require.Empty(t, ended)
				require.Equal(t, 4, known.load(start))
				require.Zero(t, known.cache.missing(start, prompt))
				return
			}
			require.Equal(t, []string{"e"}, ended, "its connections are closed")
			require.Zero(t, known.load(start))
			require.Equal(t, 4000, known.cache.missing(start, prompt))
			d.End(start, running, Unreachable)
			require.Zero(t, known.load(start), "the end of a request of the earlier life")
			require.True(t, known.avoidUntil.IsZero())
			d.SetRemoteLoads(start, LoadSource{Gateway: "g2"}, map[string]int{"e": 1})
			require.Equal(t, 1, known.load(start))
			d.ApplyChanges(start, Changes{Listed: []Instance{before}}, false)
			require.Equal(t, after.Born != 0, d.members["e"] == known, "an entry of the earlier life that comes late")
		})
	}
}

// What a program's earlier turns left at an instance is gone with the life that held it.
func TestAPromptOfAnEarlierLifeIsNotHeld(t *testing.T) {
	d := NewDirectory("z")
	d.Update(start, []Instance{{ID: "e", Service: "llm", Zone: "z", Slots: 4, Born: 101}}, false)
	missing := func(born uint64) int {
		choice, found := d.Pick(start, Demand{
			Service: "llm", Generates: true, Preferred: "e", PromptParts: []PromptPart{{ID: fmt.Sprint("p", born), Tokens: 4000}, {ID: fmt.Sprint("q", born), Tokens: 10}},
			CachedPrompts: []CachedPrompt{{Instance: "e", Born: born, PartIndex: 1, Tokens: 10}},
		})
		require.True(t, found)
		return choice.UncachedTokens
	}
	require.Zero(t, missing(101))
	require.Zero(t, missing(0), "reported by a gateway that does not know of lives")
	require.Equal(t, 4010, missing(100))
}

// Of a large service the sum is made again when it is as old as the loads of others are, and
// this gateway's own requests count at once; of a small one it is always exact.
func TestCapacityOfALargeServiceIsNotSummedEachTime(t *testing.T) {
	for count, seen := range map[int]int{summedAlways: 3, summedAlways + 1: 0} {
		d := NewDirectory("z")
		d.Update(start, engines(count), false)
		busy := func(at time.Duration) int { return d.Capacity(start.Add(at), "llm").Busy }
		require.Zero(t, busy(0))
		d.SetRemoteLoads(start, LoadSource{Gateway: "g2"}, map[string]int{"e01": 3})
		require.Equal(t, seen, busy(capacityLife-1), count)
		choice, _ := d.Pick(start, Demand{Service: "llm"})
		require.Equal(t, seen+1, busy(capacityLife-1), count)
		require.Equal(t, 4, busy(capacityLife), count)
		d.End(start, choice, Answered)
		require.Equal(t, 3, busy(capacityLife), count)
		d.Pick(start, Demand{Service: "llm"})
		d.Update(start, nil, false)
		require.Zero(t, d.inFlight["llm"])
	}
}

func BenchmarkOneChangeOf10000(b *testing.B) {
	d := NewDirectory("z")
	all := engines(10_000)
	d.Update(start, all, false)
	for b.Loop() {
		all[7].Leaving = !all[7].Leaving
		d.ApplyChanges(start, Changes{Listed: all[7:8]}, false)
	}
}

func BenchmarkLoadsOf10000(b *testing.B) {
	d := NewDirectory("z")
	d.Update(start, engines(10_000), false)
	d.Pick(start, Demand{Service: "llm"})
	for b.Loop() {
		d.Loads(start)
	}
}

func BenchmarkCapacityOf10000(b *testing.B) {
	d := NewDirectory("z")
	d.Update(start, engines(10_000), false)
	for b.Loop() {
		d.Capacity(start, "llm")
	}
}
