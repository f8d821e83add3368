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

// Any sequence of incremental changes must lead to the same state as a snapshot of the final list.
func TestIncrementalChangesMatchSnapshot(t *testing.T) {
	const instances, steps = 40, 400
	random := rand.New(rand.NewPCG(1, 2))
	d := NewDirectory("a")
	listed := map[string]Instance{}
	d.ApplyChanges(start, Changes{Snapshot: true}, false)
	for step := range steps {
		now := start.Add(time.Duration(step) * 10 * time.Millisecond)
		var changes Changes
		limit := 4
		if step%5 == 0 {
			limit = instances
		}
		for range 1 + random.IntN(limit) {
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
		require.Equal(t, entriesOf(whole.sameZone), entriesOf(d.sameZone), step)
		require.Equal(t, len(listed), d.Size())
	}
}

// entriesOf returns the entries of the members by service; services without members are omitted.
func entriesOf(lists map[string][]*member) map[string][]Instance {
	entries := map[string][]Instance{}
	for service, list := range lists {
		for _, m := range list {
			entries[service] = append(entries[service], m.instance)
		}
	}
	return entries
}

// The cost of a change must not grow with the number of instances: in a fleet of n gateways that
// all receive each change of m instances, the total work would grow with n times m squared.
func TestChangeCostIsIndependentOfInstanceCount(t *testing.T) {
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

// Gateways report their loads many times a second, so Loads must scan only instances with requests
// of this gateway.
func TestLoadsScansLoadedInstancesOnly(t *testing.T) {
	d := NewDirectory("z")
	d.Update(start, engines(1000), false)
	first, _ := d.Pick(start, Demand{Service: "llm"})
	second, _ := d.Pick(start, Demand{Service: "llm"})
	require.Len(t, d.Loads(start), 2)
	d.EndFailed(start, first, Failed)
	d.End(start, second, Answered)
	require.Equal(t, map[string]int{first.Instance.ID: 1}, d.Loads(start), "an immediate failure still counts as load")
	require.Empty(t, d.Loads(start.Add(maxHold)))
	require.Empty(t, d.loaded)
}

func TestRestartedInstanceStartsWithEmptyState(t *testing.T) {
	prompt := []PromptPart{{ID: "p", Tokens: 4000}}
	demand := Demand{Service: "llm", Generates: true, PromptParts: prompt}
	before := Instance{ID: "e", Service: "llm", Zone: "z", Slots: 4, Address: "10.0.0.1:1", Born: 100}
	for name, test := range map[string]struct {
		change    func(*Instance)
		restarted bool
	}{
		"later start time":                  {func(i *Instance) { i.Born = 101 }, true},
		"other address, start time unknown": {func(i *Instance) { i.Address, i.Born = "10.0.0.2:1", 0 }, true},
		"same run, leaving":                 {func(i *Instance) { i.Leaving = true }, false},
		"same address, start time unknown":  {func(i *Instance) { i.Born = 0 }, false},
	} {
		t.Run(name, func(t *testing.T) {
			d := NewDirectory("z")
			d.Update(start, []Instance{before}, false)
			running, found := d.Pick(start, demand)
			require.True(t, found)
			d.SetRemoteLoads(start, LoadSource{Gateway: "g2"}, map[string]int{"e": 3})
			after := before
			test.change(&after)
			invalidated := d.ApplyChanges(start, Changes{Listed: []Instance{after}}, false)
			m := d.members["e"]
			if !test.restarted {
				require.Empty(t, invalidated)
				require.Equal(t, 4, m.load(start))
				require.Zero(t, m.cache.uncachedTokens(start, prompt))
				return
			}
			require.Equal(t, []string{"e"}, invalidated, "the caller closes its connections")
			require.Zero(t, m.load(start))
			require.Equal(t, 4000, m.cache.uncachedTokens(start, prompt))
			d.End(start, running, Unreachable)
			require.Zero(t, m.load(start), "the end of a request from before the restart is ignored")
			require.True(t, m.avoidUntil.IsZero())
			d.SetRemoteLoads(start, LoadSource{Gateway: "g2"}, map[string]int{"e": 1})
			require.Equal(t, 1, m.load(start))
			d.ApplyChanges(start, Changes{Listed: []Instance{before}}, false)
			require.Equal(t, after.Born != 0, d.members["e"] == m, "a late entry from before the restart is ignored")
		})
	}
}

// Prompts that a program's earlier turns left at an instance are lost when it restarts.
func TestPromptCachedBeforeRestartIsIgnored(t *testing.T) {
	d := NewDirectory("z")
	d.Update(start, []Instance{{ID: "e", Service: "llm", Zone: "z", Slots: 4, Born: 101}}, false)
	uncached := func(born uint64) int {
		choice, found := d.Pick(start, Demand{
			Service: "llm", Generates: true, Preferred: "e", PromptParts: []PromptPart{{ID: fmt.Sprint("p", born), Tokens: 4000}, {ID: fmt.Sprint("q", born), Tokens: 10}},
			CachedPrompts: []CachedPrompt{{Instance: "e", Born: born, PartIndex: 1, Tokens: 10}},
		})
		require.True(t, found)
		return choice.UncachedTokens
	}
	require.Zero(t, uncached(101))
	require.Zero(t, uncached(0), "a report without a start time")
	require.Equal(t, 4010, uncached(100))
}

// The capacity of a large service is recomputed only when it is as old as load reports are, but
// this gateway's own requests count immediately. The capacity of a small service is always exact.
func TestCapacityOfLargeServiceIsCached(t *testing.T) {
	for count, seen := range map[int]int{exactCapacityLimit: 3, exactCapacityLimit + 1: 0} {
		d := NewDirectory("z")
		d.Update(start, engines(count), false)
		busy := func(at time.Duration) int { return d.Capacity(start.Add(at), "llm").Busy }
		require.Zero(t, busy(0))
		d.SetRemoteLoads(start, LoadSource{Gateway: "g2"}, map[string]int{"e01": 3})
		require.Equal(t, seen, busy(capacityCacheTTL-1), count)
		choice, _ := d.Pick(start, Demand{Service: "llm"})
		require.Equal(t, seen+1, busy(capacityCacheTTL-1), count)
		require.Equal(t, 4, busy(capacityCacheTTL), count)
		d.End(start, choice, Answered)
		require.Equal(t, 3, busy(capacityCacheTTL), count)
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
