package httpanswer

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/rawanswer"
)

// read makes a request to a server that sends the given bytes, and reads the answer to its end.
func read(t *testing.T, answer string) (status int, body string, err error) {
	server, err := rawanswer.NewServer(answer, "", rawanswer.Close)
	require.NoError(t, err)
	defer server.Close()
	client := &http.Client{Transport: NewTransport(&http.Transport{DisableKeepAlives: true})}
	response, err := client.Get("http://" + server.Address())
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return response.StatusCode, string(content), err
}

func TestInvalidAnswersFail(t *testing.T) {
	for name, answer := range rawanswer.Invalid("") {
		t.Run(name, func(t *testing.T) {
			_, _, err := read(t, answer)
			require.Error(t, err)
		})
	}
}

func TestValidAnswersPass(t *testing.T) {
	const body = "\r\nContent-Length: 4\r\n\r\nbody"
	answers := map[string]string{
		"status 200":        "HTTP/1.1 200 OK" + body,
		"status 599":        "HTTP/1.1 599 Own" + body,
		"version 1.0":       "HTTP/1.0 200 OK" + body,
		"no reason":         "HTTP/1.1 200" + body,
		"all token symbols": "HTTP/1.1 200 OK\r\n" + tokenSymbols + "09azAZ: a" + body,
		"interim heads":     strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n", maxInterimHeads) + "HTTP/1.1 200 OK" + body,
		"trailer":           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX-Field: a\r\n\r\n",
		"until close":       "HTTP/1.1 200 OK\r\n\r\nbody",
	}
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			status, body, err := read(t, answer)
			require.NoError(t, err)
			require.Contains(t, []int{200, 599}, status)
			require.Equal(t, "body", body)
		})
	}
}
