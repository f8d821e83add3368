// Package loopback opens and closes listeners for tests.
package loopback

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"syscall"
)

const (
	// firstPort and ports are the range of the ports of Listen, below those that the kernel assigns to connections.
	firstPort, ports = 20000, 12000
	// listenHost is the number of the host of Listen.
	listenHost = 251
)

// listened counts the listeners that this process has opened.
var listened atomic.Uint32

// Host returns the loopback host with a number from 1 to 254 that no other test process uses.
func Host(number int) string {
	const hosts = 250
	return fmt.Sprintf("127.%d.%d.%d", 1+(os.Getpid()>>8)%hosts, os.Getpid()%hosts, number)
}

// Listen listens on an address that nothing else takes, also after the listener was closed: no other test process uses the
// host, the kernel does not choose the port, and this process does not use it again for a long time.
func Listen() (net.Listener, error) {
	port := firstPort + listened.Add(1)%ports
	return net.Listen("tcp", fmt.Sprintf("%s:%d", Host(listenHost), port))
}

// Close stops a TCP listener at once: its address refuses connections, and can be listened on again. If it were only
// closed, a process that is being started would hold it until its program has been loaded.
func Close(listener net.Listener) error {
	raw, err := listener.(syscall.Conn).SyscallConn()
	if err != nil {
		return err
	}
	var shutdown error
	err = raw.Control(func(descriptor uintptr) { shutdown = syscall.Shutdown(int(descriptor), syscall.SHUT_RDWR) })
	return errors.Join(err, shutdown, listener.Close())
}
