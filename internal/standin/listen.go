package standin

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/sourcegraph/conc"
)

// Listen serves a handler on an address. It returns the listening address and a
// function that stops the server. With port 0 the kernel chooses a free port.
func Listen(address string, handler http.Handler) (string, func(), error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", nil, fmt.Errorf("stand-in: %w", err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	var tasks conc.WaitGroup
	tasks.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			panic(err)
		}
	})
	stop := func() {
		_ = server.Close()
		tasks.Wait()
	}
	return listener.Addr().String(), stop, nil
}
