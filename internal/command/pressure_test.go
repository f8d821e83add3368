package command

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestPressureSumsGatewaysAndReportsFailures(t *testing.T) {
	page := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "# TYPE swiftbank_program_room_slots gauge\nswiftbank_program_room_slots{node=\"g\",service=\"llm\"} 5\n")
	}))
	defer page.Close()
	notFound := httptest.NewServer(http.NotFoundHandler())
	defer notFound.Close()
	address := strings.TrimPrefix(page.URL, "http://")
	command := newPressureCommand()
	var out, failures bytes.Buffer
	command.SetOut(&out)
	command.SetErr(&failures)
	command.SetArgs([]string{address, address, strings.TrimPrefix(notFound.URL, "http://")})
	require.Error(t, command.Execute())
	require.Regexp(t, `swiftbank_program_room_slots +service=llm +10\.0 +5\.0 +5\.0 +2`, out.String())
	require.Contains(t, failures.String(), "HTTP status 404")
}
