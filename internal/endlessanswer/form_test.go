package endlessanswer

import (
	"net"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestBytesComeUntilThePeerCloses(t *testing.T) {
	for _, form := range append(slices.Concat(Heads(), Bodies()), WithStatus("503 Service Unavailable")) {
		t.Run(form.Name, func(t *testing.T) {
			client, server := net.Pipe()
			sent := make(chan int64, 1)
			go func() { sent <- form.Send(server, "X-Id: 1\r\n") }()
			received := make([]byte, 3*writeBytes)
			total := 0
			for total < len(received) {
				count, err := client.Read(received[total:])
				require.NoError(t, err)
				total += count
			}
			require.NoError(t, client.Close())
			require.GreaterOrEqual(t, <-sent, int64(total)-writeBytes)
			require.Equal(t, form.HasHead, strings.Contains(string(received), "X-Id: 1\r\n"))
			if form.HasHead {
				require.Contains(t, string(received), "\r\n\r\n")
			}
		})
	}
}
