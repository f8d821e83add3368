package gateway

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/quota"
)

func TestWhichPartOfAProgramARequestIs(t *testing.T) {
	s := &Server{dialect: Dialect{Program: "X-Program"}, options: Options{LoadControl: true, LimitSetAside: true}}
	of := func(program string, first bool) quota.Part {
		return s.programPart(&request{header: http.Header{"X-Program": {program}}, first: first})
	}
	require.Equal(t, quota.PartFirst, of("p", true))
	require.Equal(t, quota.PartLater, of("p", false), "also a call of a tool")
	require.Equal(t, quota.PartFirst, of("", false))
	for _, off := range []Options{{LoadControl: true}, {LimitSetAside: true}} {
		s.options = off
		require.Equal(t, quota.PartUntold, of("p", true))
	}
}
