package learned

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

func TestCacheAnswersWithNewestFiguresOfZone(t *testing.T) {
	cache := NewCache()
	_, answered := cache.Receive(start, Message{Zone: "a"})
	require.False(t, answered, "the cache is empty")
	for _, figures := range []string{"old", "new"} {
		_, answered = cache.Receive(start, Message{Zone: "a", Sections: map[string][]byte{"programs": []byte(figures)}})
		require.False(t, answered)
	}
	_, answered = cache.Receive(start, Message{Zone: "b", Sections: map[string][]byte{"programs": []byte("of another zone")}})
	require.False(t, answered)
	answer, answered := cache.Receive(start.Add(3*time.Second), Message{Zone: "a"})
	require.True(t, answered)
	require.Equal(t, Message{Zone: "a", Sections: map[string][]byte{"programs": []byte("new")}, Age: 3 * time.Second}, answer)
}

func TestCacheIsBounded(t *testing.T) {
	cache := NewCache()
	figures := map[string][]byte{"programs": make([]byte, maxZoneBytes/2)}
	for zone := range 2 * maxZones {
		cache.Receive(start, Message{Zone: fmt.Sprint(zone), Sections: figures})
	}
	require.Len(t, cache.zones, maxZones)
	cache.Receive(start, Message{Zone: "0", Sections: map[string][]byte{"programs": make([]byte, maxZoneBytes)}})
	answer, asked := cache.Receive(start, Message{Zone: "0"})
	require.True(t, asked)
	require.Equal(t, figures, answer.Sections, "figures that exceed the limit are ignored")
}
