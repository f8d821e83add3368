package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A request must not run on more instances than its route allows.
func TestInstanceRunsLimitsInstancesPerRequest(t *testing.T) {
	type step struct {
		instance   string
		noProgress bool
		required   string
	}
	for name, test := range map[string]struct {
		attempts int
		steps    []step
	}{
		"one instance without progress": {1, []step{{instance: "a", required: "a"}, {instance: "a", noProgress: true, required: "a"}}},
		"two instances that fail": {2, []step{
			{instance: "a", required: ""}, {instance: "b", required: "b"}, {instance: "b", noProgress: true, required: "a"}, {instance: "a", noProgress: true, required: "b"},
		}},
		"same instance twice":            {2, []step{{instance: "a"}, {instance: "a", required: ""}, {instance: "b", required: "b"}}},
		"replacement of a lost instance": {1, []step{{instance: "a", required: "a"}, {instance: "b", required: "b"}}},
		"route without a bound":          {0, []step{{instance: "a", required: "a"}}},
	} {
		t.Run(name, func(t *testing.T) {
			runs := instanceRuns{attempts: test.attempts}
			require.Empty(t, runs.requiredInstance(false), "no instance has run it yet")
			for _, step := range test.steps {
				runs.add(step.instance)
				require.Equal(t, step.required, runs.requiredInstance(step.noProgress))
			}
		})
	}
}
