package feed

import (
	"encoding/gob"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/backend"
)

// During an upgrade a process may follow one of the previous version.
func TestReplyOfPreviousVersionDecodes(t *testing.T) {
	file, err := os.Open("testdata/reply-0.7.gob")
	require.NoError(t, err)
	t.Cleanup(func() { _ = file.Close() })
	var reply Reply
	require.NoError(t, gob.NewDecoder(file).Decode(&reply))
	require.Equal(t, Positions{Configurations: {Known: true, At: 4}, Instances: {Known: true, At: 6}}, reply.Positions)
	require.Equal(t, Status{Confirmed: true, Age: time.Second}, reply.Status)
	cache := NewCache()
	cache.Apply(Batch{Kind: Instances, Snapshot: true, At: 4, Records: []Record{{Name: "j", Revision: 3, Instance: &backend.Instance{ID: "j"}}}})
	for _, batch := range reply.Batches {
		outcome, _ := cache.Apply(batch)
		require.Equal(t, Applied, outcome)
	}
	read, exists := cache.Record(Instances, "i")
	require.True(t, exists)
	require.Equal(t, &backend.Instance{
		ID: "i", Service: "s", Address: "10.0.0.1:1", Zone: "z", Slots: 6, Leaving: true, ColdFor: time.Second,
	}, read.Instance)
	_, exists = cache.Record(Instances, "j")
	require.False(t, exists)
	configuration, _ := cache.Record(Configurations, "main")
	require.EqualValues(t, 9, configuration.Configuration.Version)
}
