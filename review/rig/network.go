//go:build review2

package rig

import (
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// storeName is the name of the store as the target of a path.
const storeName = "store"

// network holds the paths between the processes, and to the store. A path knows which process has opened a connection,
// so that one machine can be cut off from all others.
type network struct {
	rig *Rig

	mu    sync.Mutex
	cut   map[string]bool
	links map[*link]bool
}

// Path forwards connections to one target.
type Path struct {
	network  *network
	listener net.Listener
	target   string
	// to is the process that is the target; owner is the only process that uses the path, "" if several may.
	to, owner string
}

// link is a connection that is forwarded.
type link struct {
	from, to  string
	near, far *net.TCPConn
	// silent is set if what the link carries is dropped. lastActivity is when it last carried something.
	silent       bool
	lastActivity time.Time
}

func newNetwork(rig *Rig) *network {
	return &network{rig: rig, cut: map[string]bool{}, links: map[*link]bool{}}
}

func (n *network) newPath(target, to string) *Path {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	n.rig.Require(err == nil, "no free port: %v", err)
	path := &Path{network: n, listener: listener, target: target, to: to}
	go path.accept()
	return path
}

// Address returns the host:port of the path's near end.
func (p *Path) Address() string { return p.listener.Addr().String() }

func (p *Path) accept() {
	for {
		accepted, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(accepted.(*net.TCPConn))
	}
}

func (p *Path) serve(near *net.TCPConn) {
	from := p.owner
	if from == "" {
		from = p.network.ownerOf(near.RemoteAddr().String(), near.LocalAddr().String())
	}
	dialed, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(near)
		return
	}
	carried := &link{from: from, to: p.to, near: near, far: dialed.(*net.TCPConn), lastActivity: time.Now()}
	if !p.network.track(carried) {
		reset(near)
		reset(carried.far)
		return
	}
	var both sync.WaitGroup
	both.Go(func() { p.network.forward(carried, carried.far, near) })
	both.Go(func() { p.network.forward(carried, near, carried.far) })
	both.Wait()
	p.network.forget(carried)
}

// track adds a link, unless one of its ends is cut off.
func (n *network) track(carried *link) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cut[carried.from] || n.cut[carried.to] {
		return false
	}
	n.links[carried] = true
	return true
}

func (n *network) forget(carried *link) {
	n.mu.Lock()
	delete(n.links, carried)
	n.mu.Unlock()
	_ = carried.near.Close()
	_ = carried.far.Close()
}

func (n *network) isSilent(carried *link) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return carried.silent
}

// forward copies one direction until it ends. What arrives on a silent link is dropped, its end too.
func (n *network) forward(carried *link, to, from *net.TCPConn) {
	buffer := make([]byte, 32<<10)
	for {
		read, err := from.Read(buffer)
		if n.isSilent(carried) {
			if err != nil {
				return
			}
			continue
		}
		n.recordActivity(carried)
		if read > 0 {
			if _, writeErr := to.Write(buffer[:read]); writeErr != nil {
				reset(from)
				return
			}
		}
		if err == io.EOF {
			_ = to.CloseWrite()
			return
		}
		if err != nil {
			reset(to)
			return
		}
	}
}

// CutOff partitions a process from all others and from the store: its connections are reset, and new ones too.
func (r *Rig) CutOff(process *Process) {
	n := r.network
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[process.Name] = true
	for carried := range n.links {
		if carried.from == process.Name || carried.to == process.Name {
			reset(carried.near)
			reset(carried.far)
		}
	}
}

// Rejoin ends the partition of a process.
func (r *Rig) Rejoin(process *Process) {
	r.network.mu.Lock()
	defer r.network.mu.Unlock()
	delete(r.network.cut, process.Name)
}

// ownerOf returns the process that has opened a connection.
func (n *network) ownerOf(local, remote string) string {
	inode := inodeOf(local, remote)
	if inode == "" {
		return ""
	}
	n.rig.mu.Lock()
	processes := append([]*Process(nil), n.rig.processes...)
	n.rig.mu.Unlock()
	for _, process := range processes {
		descriptors, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", process.Pid()))
		for _, descriptor := range descriptors {
			if name, _ := os.Readlink(descriptor); name == "socket:["+inode+"]" {
				return process.Name
			}
		}
	}
	return ""
}

// inodeOf returns the inode of the socket with the two ends.
func inodeOf(local, remote string) string {
	content, _ := os.ReadFile("/proc/net/tcp")
	for _, line := range strings.Split(string(content), "\n") {
		fields := strings.Fields(line)
		if len(fields) > 9 && fields[1] == procAddress(local) && fields[2] == procAddress(remote) {
			return fields[9]
		}
	}
	return ""
}

// procAddress returns an address in the form of /proc/net/tcp.
func procAddress(address string) string {
	parsed, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return ""
	}
	ip := parsed.IP.To4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], parsed.Port)
}

func reset(connection *net.TCPConn) {
	_ = connection.SetLinger(0)
	_ = connection.Close()
}

// SilenceIdle makes the open connections to the store silent for good on which nothing was carried for the given time, as a
// middlebox does that forgets idle connections. New ones work. It returns how many there are.
func (r *Rig) SilenceIdle(idle time.Duration) (silenced int) {
	n := r.network
	n.mu.Lock()
	defer n.mu.Unlock()
	for carried := range n.links {
		if carried.to == storeName && time.Since(carried.lastActivity) >= idle {
			carried.silent = true
			silenced++
		}
	}
	return silenced
}

// recordActivity records that a link carries something.
func (n *network) recordActivity(carried *link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	carried.lastActivity = time.Now()
}
