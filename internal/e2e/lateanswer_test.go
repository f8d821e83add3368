package e2e

import (
	"bytes"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/platform/platformtest"
)

// testLateCopyOfRefusal sends requests that all instances refuse before one runs them. Each refusal is sent again
// where the next answer on its connection is due.
func (f *fleet) testLateCopyOfRefusal(t *testing.T) {
	const rounds = 5
	instances := append(append([]*platformtest.Engine{}, f.engines...), f.apps...)
	var refusalsLeft atomic.Int64
	for _, instance := range instances {
		instance.SetRefusals(func() bool { return refusalsLeft.Add(-1) >= 0 })
		instance.SetUnsolicitedAnswers(func(answer []byte) int {
			if bytes.Contains(answer, []byte("X-Not-Executed")) {
				return 1
			}
			return 0
		})
		defer instance.SetRefusals(nil)
		defer instance.SetUnsolicitedAnswers(nil)
	}
	program := f.newID()
	send := map[string]func() exchangeResult{
		"retained turn": func() exchangeResult {
			return f.turn(f.gateways[0], turnRequest{path: "/chat/t", program: program, budget: 100000, maxTokens: 50, body: "x"})
		},
		"resumable turn": func() exchangeResult {
			return f.turn(f.gateways[0], turnRequest{path: "/plan/t", program: program, budget: 100000, maxTokens: 50, body: "x"})
		},
		"unsafe call": func() exchangeResult { return f.post(f.gateways[0], appsHost, "/charge/a", nil, "x") },
		"safe call":   func() exchangeResult { return f.post(f.gateways[0], appsHost, "/start/a", nil, "x") },
	}
	for name, exchange := range send {
		for range rounds {
			refusalsLeft.Store(int64(len(f.engines)))
			got := exchange()
			require.NoError(t, got.err, name)
			require.Equal(t, http.StatusOK, got.status, "%s: %s", name, got.body)
			require.Len(t, runsOf(got.id, instances), 1, name)
		}
	}
}
