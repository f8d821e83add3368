package catalogue

import (
	"testing"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/declaration"
)

func tenantChange(revision uint64, name, key string) Change {
	object := declaration.Object{
		Reference: declaration.Reference{Kind: declaration.KindTenant, Name: name},
		Tenant:    &declaration.Tenant{KeyDigest: key},
	}
	return Change{Revision: revision, Edits: []Edit{{Reference: object.Reference, Object: &object}}}
}

func TestCatalogueOnlyMovesForward(t *testing.T) {
	c := New()
	require.NoError(t, c.Apply(tenantChange(1, "a", "old")))
	require.NoError(t, c.Apply(tenantChange(2, "a", "new")))
	require.NoError(t, c.Apply(tenantChange(1, "a", "old")), "an old change set is ignored")
	require.Error(t, c.Apply(tenantChange(4, "a", "later")), "a gap is refused")
	require.Equal(t, uint64(2), c.Revision())
	_, found := c.TenantByKey("old")
	require.False(t, found, "the replaced key is no longer valid")
	name, found := c.TenantByKey("new")
	require.True(t, found)
	require.Equal(t, "a", name)
}

func TestSinceGivesChangesInOrder(t *testing.T) {
	c := New()
	for revision := uint64(1); revision <= 5; revision++ {
		require.NoError(t, c.Apply(tenantChange(revision, "a", "k")))
	}
	changes := c.Since(2, 2)
	require.Len(t, changes, 2)
	require.Equal(t, uint64(3), changes[0].Revision)
	require.Empty(t, c.Since(5, 10))
}
