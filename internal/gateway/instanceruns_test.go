package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A request must not run on more instances than its route allows.
func TestARequestStaysWithTheInstancesThatRanIt(t *testing.T) {
	type step struct {
		ran         string
		gaveNothing bool
		only        string
	}
	for name, test := range map[string]struct {
		attempts int
		steps    []step
	}{
		"one instance, which gives nothing": {1, []step{{ran: "a", only: "a"}, {ran: "a", gaveNothing: true, only: "a"}}},
		"two instances that break off": {2, []step{
			{ran: "a", only: ""}, {ran: "b", only: "b"}, {ran: "b", gaveNothing: true, only: "a"}, {ran: "a", gaveNothing: true, only: "b"},
		}},
		"the same one twice":              {2, []step{{ran: "a"}, {ran: "a", only: ""}, {ran: "b", only: "b"}}},
		"one more, for the last was gone": {1, []step{{ran: "a", only: "a"}, {ran: "b", only: "b"}}},
		"a route that names no bound":     {0, []step{{ran: "a", only: "a"}}},
	} {
		t.Run(name, func(t *testing.T) {
			runs := instanceRuns{attempts: test.attempts}
			require.Empty(t, runs.requiredInstance(false), "nothing ran yet")
			for _, step := range test.steps {
				runs.add(step.ran)
				require.Equal(t, step.only, runs.requiredInstance(step.gaveNothing))
			}
		})
	}
}
