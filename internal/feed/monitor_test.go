package feed

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// countProbes returns the number of probes of each kind in the given number of rounds, and the
// maximum number of probes in one round.
func countProbes(informers []*informer, rounds int) (counts map[Kind]int, most int) {
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

func TestMonitorProbesKindsInTurn(t *testing.T) {
	config, instances := &informer{kind: Configurations, urgent: true}, &informer{kind: Instances, urgent: true}
	members, retirements := &informer{kind: Members}, &informer{kind: Retirements}
	counts, most := countProbes([]*informer{config, instances, members}, 16)
	require.Equal(t, map[Kind]int{Configurations: 8, Instances: 8, Members: 2}, counts)
	require.Equal(t, 2, most)
	counts, _ = countProbes([]*informer{config, instances, members, retirements}, 16)
	require.Equal(t, map[Kind]int{Configurations: 8, Instances: 8, Members: 1, Retirements: 1}, counts)
	counts, most = countProbes([]*informer{members, retirements}, 16)
	require.Equal(t, map[Kind]int{Members: 8, Retirements: 8}, counts, "without urgent kinds")
	require.Equal(t, 1, most)
	counts, _ = countProbes(nil, 3)
	require.Empty(t, counts)
}
