package lateanswer

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestCopyArrivesWhereALaterAnswerIsDue(t *testing.T) {
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.URL.Path)
	}))
	server.Listener = NewListener(server.Listener, func(answer []byte) int {
		switch {
		case bytes.HasSuffix(answer, []byte("/next")):
			return 1
		case bytes.HasSuffix(answer, []byte("/second")):
			return 2
		}
		return 0
	})
	server.Start()
	t.Cleanup(server.Close)
	client, err := net.Dial("tcp", server.Listener.Addr().String())
	require.NoError(t, err)
	defer client.Close()
	reader := bufio.NewReader(client)
	for _, step := range []struct {
		path    string
		answers []string
	}{
		{"/next", []string{"/next"}}, {"/a", []string{"/next", "/a"}}, {"/second", []string{"/second"}},
		{"/b", []string{"/b"}}, {"/c", []string{"/second", "/c"}}, {"/d", []string{"/d"}},
	} {
		_, err := io.WriteString(client, "GET "+step.path+" HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err)
		for _, expected := range step.answers {
			response, err := http.ReadResponse(reader, nil)
			require.NoError(t, err)
			body, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			require.Equal(t, expected, string(body), step.path)
		}
	}
}
