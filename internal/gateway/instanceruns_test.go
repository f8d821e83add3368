package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A request must not run on more instances than its route allows, unless one is known to be gone.
func TestARequestStaysWithTheInstancesThatRanIt(t *testing.T) {
	type step struct {
		ran, gone   string
		gaveNothing bool
		only        string
	}
	for name, test := range map[string]struct {
		attempts int
		steps    []step
	}{
		"one instance, which gives nothing": {1, []step{{ran: "a", only: "a"}, {ran: "a", gaveNothing: true, only: "a"}}},
		"one instance, which is gone":       {1, []step{{ran: "a", gone: "a", only: ""}, {ran: "b", only: "b"}}},
		"two instances that break off": {2, []step{
			{ran: "a", only: ""}, {ran: "b", only: "b"}, {ran: "b", gaveNothing: true, only: "a"}, {ran: "a", gaveNothing: true, only: "b"},
		}},
		"the second of two is gone": {2, []step{{ran: "a"}, {ran: "b", gone: "b", only: ""}, {ran: "c", only: "c"}}},
		"the first of two is gone":  {2, []step{{ran: "a"}, {ran: "b", only: "b"}, {gone: "a", only: ""}, {ran: "c", only: "c"}}},
		"the same one twice":        {2, []step{{ran: "a"}, {ran: "a", only: ""}, {ran: "b", only: "b"}}},
	} {
		t.Run(name, func(t *testing.T) {
			runs := instanceRuns{attempts: test.attempts}
			for _, step := range test.steps {
				if step.ran != "" {
					runs.add(step.ran)
				}
				runs.remove(step.gone)
				require.Equal(t, step.only, runs.only(step.gaveNothing))
			}
		})
	}
}
