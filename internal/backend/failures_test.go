package backend

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestImmediateFailuresCountAsLoadUntilSuccess(t *testing.T) {
	for _, c := range []struct {
		name  string
		took  time.Duration
		ended Outcome
		load  int
	}{
		{"a failure at once", time.Millisecond, Failed, 1},
		{"no connection", time.Millisecond, Unreachable, 1},
		{"a lost answer", 150 * time.Millisecond, Failed, 0},
		{"no room", time.Millisecond, Full, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := NewDirectory("z")
			d.Update(start, engines(1), false)
			choice, _ := d.Pick(start, Demand{Service: "llm"})
			ended := start.Add(c.took)
			d.EndFailed(ended, choice, c.ended)
			require.Equal(t, c.load, d.Loads(ended)["e00"])
			require.Empty(t, d.Loads(start.Add(200*time.Millisecond)))
			d.Pick(ended, Demand{Service: "llm"})
			d.End(ended, d.choiceOf("e00"), Answered)
			require.Empty(t, d.Loads(ended), "an instance that answers is sound again")
		})
	}
}
