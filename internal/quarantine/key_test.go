package quarantine

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestKeyIsTheSameForAllAttemptsAndDiffersBetweenRequests(t *testing.T) {
	base := Identity{Tenant: "t", Host: "h", Method: "POST", Target: "/a", Program: "p", Session: "s", PreviousTurn: "q", Body: []byte("body")}
	require.Equal(t, KeyOf(base), KeyOf(base))
	for _, change := range []func(*Identity){
		func(i *Identity) { i.Tenant = "other" }, func(i *Identity) { i.Host = "other" }, func(i *Identity) { i.Method = "GET" },
		func(i *Identity) { i.Target = "/b" }, func(i *Identity) { i.Program = "other" }, func(i *Identity) { i.Session = "other" },
		func(i *Identity) { i.PreviousTurn = "other" }, func(i *Identity) { i.Body = []byte("other") },
		func(i *Identity) { i.Tenant, i.Host = "", "th" },
	} {
		changed := base
		change(&changed)
		require.NotEqual(t, KeyOf(base), KeyOf(changed))
	}
	text, err := KeyOf(base).MarshalText()
	require.NoError(t, err)
	var parsed Key
	require.NoError(t, parsed.UnmarshalText(text))
	require.Equal(t, KeyOf(base), parsed)
	require.Error(t, parsed.UnmarshalText([]byte("12")))
	require.Error(t, parsed.UnmarshalText([]byte("zz000000000000000000000000000000")))
}
