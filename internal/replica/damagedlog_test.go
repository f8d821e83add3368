package replica

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/ledger"
	"swiftbank.dev/swiftbank/internal/quota"
)

// writeCharges makes one charge after the other durable, and returns the size of the log before each.
func writeCharges(t *testing.T, s *Server, path string, turns ...string) (sizes []int64) {
	stop := startSyncer(s)
	defer stop()
	for _, turn := range turns {
		info, err := os.Stat(path)
		require.NoError(t, err)
		sizes = append(sizes, info.Size())
		durable := make(chan struct{})
		charge := ledger.ProgramCharge{Program: "p", Charge: ledger.Charge{Turn: turn, Tokens: 10}}
		s.persist(s.state.MergeCharges(s.started, []ledger.ProgramCharge{charge}), func() { close(durable) })
		<-durable
	}
	return sizes
}

// chargedTurns returns the turns whose charges the replica holds.
func chargedTurns(s *Server) (turns []string) {
	for _, record := range s.state.Snapshot() {
		if record.Charge != nil {
			turns = append(turns, record.Charge.Charge.Turn)
		}
	}
	return turns
}

// A replica that cannot read a part of its log has lost charges that it confirmed, so it must not answer as the voter that it
// was, nor start as if its disk had always been empty.
func TestReplicaWithADamagedLogIsANewDisk(t *testing.T) {
	folder := t.TempDir()
	first := newLender(t, folder, quota.Policy{})
	first.state.Settle(4)
	path := filepath.Join(folder, "ledger", "00000001.log")
	sizes := writeCharges(t, first, path, "kept", "lost", "also lost")
	content, err := os.ReadFile(path)
	require.NoError(t, err)
	content[sizes[1]+20] ^= 0x5a
	require.NoError(t, os.WriteFile(path, content, 0o600))

	second := newLender(t, folder, quota.Policy{})
	require.NotEqual(t, first.state.Disk(), second.state.Disk())
	require.Equal(t, []string{"kept"}, chargedTurns(second))
	require.Zero(t, second.state.Settled())
	require.FileExists(t, path+".damaged")

	third := newLender(t, folder, quota.Policy{})
	require.Equal(t, second.state.Disk(), third.state.Disk())
	require.Equal(t, []string{"kept"}, chargedTurns(third))
}
