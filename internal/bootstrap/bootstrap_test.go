package bootstrap

import (
	"context"
	"io"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/backend"
	"swiftbank.dev/swiftbank/internal/registry"
	"swiftbank.dev/swiftbank/internal/route"
)

func quiet() *log.Logger { return &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}} }

func tableOf(version uint64) *route.Table {
	routes := []*route.Route{
		{Name: "a", Host: "one.test", Prefix: "/a/", Kind: route.Safe, Timeout: time.Second, Targets: []route.Target{{Service: "apps", Weight: 1}}},
		{Name: "b", Host: "one.test", Prefix: "/a/b/", Kind: route.Streaming, Retained: true, Targets: []route.Target{{Service: "llm", Weight: 1}}},
	}
	return route.NewTable(version, routes, []route.Service{{Name: "apps"}, {Name: "llm", Generates: true, TokensPerEvent: 9}}, route.Limits{BodyBytes: 100})
}

func filled(folder string) *Keeper {
	k := NewKeeper(folder, quiet())
	k.ConfigurationChanged(tableOf(7))
	k.BackEndsChanged([]backend.Instance{{ID: "i-1", Service: "llm", Address: "127.0.0.1:1", Zone: "z", Slots: 3}})
	k.MembersChanged([]registry.Object{{Name: "m", Revision: 4, Value: []byte("v")}})
	return k
}

func TestTheCopyOutlivesTheProcess(t *testing.T) {
	folder := t.TempDir()
	k := filled(folder)
	_, err := k.save()
	require.NoError(t, err)
	again := NewKeeper(folder, quiet()).Copy()
	require.True(t, again.Whole())
	require.Equal(t, k.Copy().Instances, again.Instances)
	require.Equal(t, k.Copy().Members, again.Members)
	table := again.Configuration.Table()
	require.Equal(t, uint64(7), table.Version)
	require.Equal(t, "b", table.Match("one.test", "/a/b/c").Name)
	require.True(t, table.Services["llm"].Generates)
	require.Equal(t, int64(100), table.Limits.BodyBytes)
}

func TestATornFileIsNoCopy(t *testing.T) {
	folder := t.TempDir()
	_, err := filled(folder).save()
	require.NoError(t, err)
	path := filepath.Join(folder, fileName)
	content, err := os.ReadFile(path)
	require.NoError(t, err)
	for _, length := range []int{0, 1, len(content) / 2, len(content) - 1} {
		require.NoError(t, os.WriteFile(path, content[:length], 0o600))
		require.False(t, NewKeeper(folder, quiet()).Copy().Whole())
	}
}

func TestACopyNeverGoesBack(t *testing.T) {
	k := filled(t.TempDir())
	k.ConfigurationChanged(tableOf(6))
	require.Equal(t, uint64(7), k.Copy().Configuration.Version)
	k.BackEndsChanged(nil)
	require.Len(t, k.Copy().Instances, 1, "entries that all lapsed say nothing to a process that starts")
}

func serveKeeper(t *testing.T, k *Keeper) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		serve(ctx, listener, func(string) State { return k.Copy() })
	}()
	t.Cleanup(func() { cancel(); <-done })
	return listener.Addr().String()
}

func TestACopyIsFetchedWholeOrNotAtAll(t *testing.T) {
	state, err := Fetch(t.Context(), "g", serveKeeper(t, filled(t.TempDir())))
	require.NoError(t, err)
	require.Equal(t, uint64(7), state.Configuration.Version)
	empty := NewKeeper(t.TempDir(), quiet())
	_, err = Fetch(t.Context(), "g", serveKeeper(t, empty))
	require.ErrorIs(t, err, errIncomplete)
	empty.ConfigurationChanged(tableOf(1))
	_, err = Fetch(t.Context(), "g", serveKeeper(t, empty))
	require.ErrorIs(t, err, errIncomplete)
}
