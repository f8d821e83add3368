package e2e

import (
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/endlessanswer"
	"swiftbank.dev/swiftbank/platform/platformtest"
)

// TestAnswersWithoutEndLeaveGatewaysServing lets instances answer many requests at once without end, in every form. Each
// gateway must stay within its memory, close the connections, answer truthfully and serve other requests.
func TestAnswersWithoutEndLeaveGatewaysServing(t *testing.T) {
	t.Parallel()
	const memoryMB, callersPerForm = 256, 6
	f := startFleetWith(t, fleetLayout{gateways: 2, replicas: 3, engines: 3, apps: 3, gatewaySettings: containmentSettings})
	forms := slices.Concat(endlessanswer.Heads(), endlessanswer.Bodies())
	for _, instance := range slices.Concat(f.engines, f.apps) {
		instance.SetBehaviour(func(r *http.Request) platformtest.Behaviour {
			number, err := strconv.Atoi(r.Header.Get("X-Endless"))
			if err != nil {
				return platformtest.Behaviour{}
			}
			return platformtest.Behaviour{Endless: &forms[number]}
		})
	}
	paths := []struct{ host, path string }{{agentHost, "/plan/t"}, {agentHost, "/chat/t"}, {appsHost, "/start/t"}, {appsHost, "/charge/t"}}
	for number, form := range forms {
		t.Run(form.Name, func(t *testing.T) {
			var callers sync.WaitGroup
			results := make([]exchangeResult, callersPerForm*len(paths))
			for index := range results {
				target, id, program := paths[index%len(paths)], f.newID(), f.newID()
				callers.Go(func() {
					header := turnHeader(program, 100000)
					if target.host == appsHost {
						header = http.Header{"X-Program-Id": {program}}
					}
					header.Set("X-Deadline-Ms", "5000")
					header.Set("X-Endless", strconv.Itoa(number))
					results[index] = exchange(f.gateways[index%2], id, target.host, target.path, header, "x")
				})
			}
			callers.Wait()
			for _, got := range results {
				require.NotZero(t, got.status, "the gateway is gone: %v", got.err)
				require.False(t, got.status == http.StatusOK && got.err == nil, "%s passes for a whole answer", got.id)
				if got.status == http.StatusServiceUnavailable {
					require.Empty(t, runsOf(got.id, f.instances()), "%s has run", got.id)
				}
			}
			require.Eventually(t, func() bool {
				return !slices.ContainsFunc(f.instances(), func(instance *platformtest.Engine) bool { return instance.EndlessAnswers() > 0 })
			}, 10*time.Second, 10*time.Millisecond, "connections stay open")
			for _, gateway := range f.gateways {
				got := f.attempt(lethalRequest{path: "/start/t", program: f.newID()}, gateway, "harmless")
				require.Equal(t, http.StatusOK, got.status, got.body)
				require.Less(t, peakMemoryMB(t, gateway), memoryMB, "%s, in MB", gateway.name)
			}
		})
	}
}

// peakMemoryMB returns the largest memory that a process has had.
func peakMemoryMB(t *testing.T, m *member) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.command.Process.Pid))
	require.NoError(t, err)
	for line := range strings.Lines(string(status)) {
		if rest, found := strings.CutPrefix(line, "VmHWM:"); found {
			kilobytes, err := strconv.Atoi(strings.Fields(rest)[0])
			require.NoError(t, err)
			return kilobytes >> 10
		}
	}
	require.Fail(t, "the peak is not known")
	return 0
}
