package tenant

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestIndexFindsTenantByKey(t *testing.T) {
	index := NewIndex([]Tenant{
		{Name: "a", Keys: []KeyDigest{DigestOf("one"), DigestOf("two")}},
		{Name: "b", Keys: []KeyDigest{DigestOf("two"), DigestOf("three")}},
		{Name: "without keys"},
	})
	require.Equal(t, "a", index.ByKey(DigestOf("one")).Name)
	require.Equal(t, "a", index.ByKey(DigestOf("two")).Name, "a key listed twice belongs to the first tenant")
	require.Equal(t, "b", index.ByKey(DigestOf("three")).Name)
	require.Nil(t, index.ByKey(DigestOf("four")))
	require.NotNil(t, index.ByName("without keys"))
	require.Nil(t, (*Index)(nil).ByKey(DigestOf("one")))
}

func TestBearerKeyAcceptsExactlyOneKey(t *testing.T) {
	for _, values := range [][]string{nil, {""}, {"Bearer"}, {"Bearer  "}, {"Basic abc"}, {"abc"}, {"Bearer a", "Bearer b"}} {
		_, ok := BearerKey(values)
		require.False(t, ok, "%q", values)
	}
	for _, value := range []string{"Bearer abc", "bearer abc", " Bearer   abc "} {
		key, ok := BearerKey([]string{value})
		require.True(t, ok)
		require.Equal(t, "abc", key)
	}
}

func TestFingerprintDoesNotRevealKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		key := rapid.StringMatching(`[a-z0-9]{8,30}`).Draw(t, "key")
		require.Len(t, DigestOf(key).Fingerprint(), 2*fingerprintBytes)
		require.NotContains(t, key, DigestOf(key).Fingerprint())
	})
}

func FuzzBearerKey(f *testing.F) {
	f.Add("Bearer abc")
	f.Add("")
	f.Fuzz(func(t *testing.T, value string) {
		if key, ok := BearerKey([]string{value}); ok && key == "" {
			t.Fatal("accepted an empty key")
		}
	})
}
