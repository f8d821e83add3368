package e2e

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/platform/platformtest"
)

// testClientDisconnect disconnects callers in each state of each kind of request. The instance must
// stop working on the request, and no new run may start.
func (f *fleet) testClientDisconnect(t *testing.T) {
	for name, test := range map[string]struct {
		host, path string
		stream     bool
		backEnds   []*platformtest.Engine
		// earlyBehaviour is the behaviour of the back ends during the first earlyAttempts attempts.
		earlyBehaviour platformtest.Behaviour
		earlyAttempts  int
	}{
		"stream":                          {agentHost, "/plan/t", true, f.engines, platformtest.Behaviour{}, 0},
		"turn":                            {agentHost, "/chat/t", true, f.engines, platformtest.Behaviour{}, 0},
		"resumed stream":                  {agentHost, "/plan/t", true, f.engines, platformtest.Behaviour{AbortAfterEvents: 1}, 1},
		"stream that waited for capacity": {agentHost, "/plan/t", true, f.engines, platformtest.Behaviour{Refuse: true}, 5},
		"safe call":                       {appsHost, "/start/t", false, f.apps, platformtest.Behaviour{}, 0},
		"retried safe call":               {appsHost, "/start/t", false, f.apps, platformtest.Behaviour{DropResponse: true}, 1},
		"unsafe call":                     {appsHost, "/charge/t", false, f.apps, platformtest.Behaviour{}, 0},
		"unsafe call that waited":         {appsHost, "/charge/t", false, f.apps, platformtest.Behaviour{Refuse: true}, 5},
	} {
		t.Run(name, func(t *testing.T) {
			hold := make(chan struct{})
			defer close(hold)
			var mu sync.Mutex
			attempts := 0
			for _, engine := range test.backEnds {
				engine.SetBehaviour(func(*http.Request) platformtest.Behaviour {
					mu.Lock()
					defer mu.Unlock()
					attempts++
					if attempts <= test.earlyAttempts {
						return test.earlyBehaviour
					}
					return platformtest.Behaviour{Hold: hold}
				})
				defer engine.SetBehaviour(nil)
			}
			disconnects := func() int { return test.backEnds[0].CancelledRuns() + test.backEnds[1].CancelledRuns() }
			before := disconnects()
			id := f.newID()
			disconnect := f.startRequest(t, id, test.host, test.path, test.stream)
			require.Eventually(t, func() bool { mu.Lock(); defer mu.Unlock(); return attempts > test.earlyAttempts }, 10*time.Second, 5*time.Millisecond)
			disconnect()
			require.Eventually(t, func() bool { return disconnects() == before+1 }, cancelLimit+disconnectSlack, 5*time.Millisecond)
			ran := len(runsOf(id, test.backEnds))
			require.Never(t, func() bool { return len(runsOf(id, test.backEnds)) > ran }, 100*time.Millisecond, 20*time.Millisecond)
		})
	}
}

const (
	// cancelLimit is how long an instance may continue after the caller disconnects.
	// disconnectSlack is added to allow for other load on the test machine.
	cancelLimit     = 500 * time.Millisecond
	disconnectSlack = 3 * time.Second
)

// startRequest sends a request in the background. The returned function disconnects its caller.
func (f *fleet) startRequest(t *testing.T, id, host, path string, stream bool) (disconnect context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.gateways[0].address+path, strings.NewReader("x"))
	require.NoError(t, err)
	request.Host = host
	request.Header.Set("X-Request-Id", id)
	if stream {
		request.Header.Set("X-Token-Count", "10,50")
	}
	go func() {
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
	}()
	return cancel
}
