package feed

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// probed returns how often each kind is probed in so many rounds, and the most calls of
// one round.
func probed(informers []*informer, rounds int) (counts map[Kind]int, most int) {
	m := &monitor{informers: informers}
	counts = map[Kind]int{}
	for round := range rounds {
		due := m.due(round)
		most = max(most, len(due))
		for _, informer := range due {
			counts[informer.kind]++
		}
	}
	return counts, most
}

func TestEveryKindIsProbedInItsTurn(t *testing.T) {
	config, instances := &informer{kind: Configurations, urgent: true}, &informer{kind: Instances, urgent: true}
	members, retirements := &informer{kind: Members}, &informer{kind: Retirements}
	counts, most := probed([]*informer{config, instances, members}, 16)
	require.Equal(t, map[Kind]int{Configurations: 8, Instances: 8, Members: 2}, counts)
	require.Equal(t, 2, most)
	counts, _ = probed([]*informer{config, instances, members, retirements}, 16)
	require.Equal(t, map[Kind]int{Configurations: 8, Instances: 8, Members: 1, Retirements: 1}, counts)
	counts, most = probed([]*informer{members, retirements}, 16)
	require.Equal(t, map[Kind]int{Members: 8, Retirements: 8}, counts, "without urgent kinds")
	require.Equal(t, 1, most)
	counts, _ = probed(nil, 3)
	require.Empty(t, counts)
}
