package gateway

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/admission"
	"swiftbank.dev/swiftbank/internal/learned"
	"swiftbank.dev/swiftbank/internal/replicaset"
	"swiftbank.dev/swiftbank/internal/tally"
)

// freeUDPAddress returns an address on which nothing listens.
func freeUDPAddress(t *testing.T) string {
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, socket.Close()) }()
	return socket.LocalAddr().String()
}

// fakePersistentSection is a section whose figures survive a restart.
type fakePersistentSection struct {
	figures  []byte
	recalled chan string
}

func (s *fakePersistentSection) name() string                                         { return "kept" }
func (s *fakePersistentSection) ownFigures(time.Time) []byte                          { return nil }
func (s *fakePersistentSection) zoneFigures(time.Time) []byte                         { return nil }
func (s *fakePersistentSection) apply(time.Time, tally.Source, tally.Version, []byte) {}
func (s *fakePersistentSection) snapshot(time.Time) []byte                            { return s.figures }
func (s *fakePersistentSection) restore(_ time.Time, _ time.Duration, figures []byte) {
	s.recalled <- string(figures)
}

// startGossip runs a gateway's gossip with one section until the returned function is called.
func startGossip(t *testing.T, section reportSection, replicas map[string]replicaset.Node) (stop func()) {
	gossip := newTestGossip("a1", "a")
	gossip.AddSection(section)
	gossip.EnableLearnedCache(&log.Logger{Level: log.PanicLevel})
	gossip.SetGateways(nil)
	gossip.SetReplicas(replicas)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- gossip.Run(ctx, "127.0.0.1:0") }()
	return func() {
		cancel()
		require.NoError(t, <-ended)
	}
}

// cacheHasSnapshot reports whether a replica at the address returns a snapshot of zone a.
func cacheHasSnapshot(t *testing.T, address string) bool {
	connection, err := net.Dial("udp", address)
	require.NoError(t, err)
	defer func() { require.NoError(t, connection.Close()) }()
	question, err := learned.Encode(learned.Message{Zone: "a"})
	require.NoError(t, err)
	if _, err := connection.Write(question); err != nil {
		return false // no server listens there yet
	}
	require.NoError(t, connection.SetReadDeadline(time.Now().Add(100*time.Millisecond)))
	size, err := connection.Read(make([]byte, 1))
	return err == nil && size > 0
}

// After a restart of all gateways, only the replicas' caches still have the learned state.
func TestGatewayRestoresLearnedStateAfterFullRestart(t *testing.T) {
	address := freeUDPAddress(t)
	go func() {
		_ = learned.NewCache().Serve(t.Context(), address, &log.Logger{Level: log.PanicLevel}, nil)
	}()
	replicas := map[string]replicaset.Node{
		"r1": {Name: "r1", Zone: "a", Address: address}, "r2": {Name: "r2", Zone: "b", Address: freeUDPAddress(t)},
	}
	before := &fakePersistentSection{figures: []byte("learned"), recalled: make(chan string, 1)}
	stop := startGossip(t, before, replicas)
	require.Eventually(t, func() bool { return cacheHasSnapshot(t, address) }, 20*time.Second, 50*time.Millisecond)
	stop()
	after := &fakePersistentSection{recalled: make(chan string, 1)}
	defer startGossip(t, after, replicas)()
	select {
	case figures := <-after.recalled:
		require.Equal(t, "learned", figures)
	case <-time.After(restoreTimeout):
		t.Fatal("no snapshot was restored")
	}
}

func TestProgramSectionRestoresSnapshot(t *testing.T) {
	kind := admission.Kind{Service: "s", Route: "r"}
	section := func() *programSection {
		return &programSection{programs: &programs{log: &log.Logger{Level: log.PanicLevel}, controller: admission.NewController()}}
	}
	before, after := section(), section()
	now := time.Unix(1000, 0)
	require.Nil(t, before.snapshot(now))
	for range 100 {
		before.programs.controller.ProgramStarted(now, admission.ProgramStart{Kind: kind})
		before.programs.controller.TurnCompleted(now, admission.Turn{Kind: kind, First: true, SlotTime: time.Second})
		now = now.Add(time.Second)
	}
	after.restore(now, time.Second, before.snapshot(now))
	decide := func(s *programSection) admission.Decision {
		return s.programs.controller.Decide(now, admission.Request{Kind: kind, Deadline: now}, admission.Load{Slots: 100})
	}
	require.True(t, decide(after).HasForecast)
	require.InEpsilon(t, decide(before).Program.SlotTime, decide(after).Program.SlotTime, 0.01)
	require.False(t, decide(section()).HasForecast)
}
