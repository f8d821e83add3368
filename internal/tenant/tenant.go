// Package tenant says which organisation a caller belongs to: by the key that it shows, as
// the configuration in force maps keys to tenants. Keys are kept as digests only, so none
// can reach a log line, a metric, a copy on a disk or another process.
package tenant

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"swiftbank.dev/swiftbank/internal/place"
)

// KeyDigest is the SHA-256 digest of a caller's key.
type KeyDigest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// fingerprintBytes is how much of a digest is shown: enough to tell the keys of a fleet
// apart (10,000 keys collide with a chance of 1 in 100), too little to find a key by.
const fingerprintBytes = 4

// Fingerprint returns the part of the digest that logs show.
func (d KeyDigest) Fingerprint() string { return hex.EncodeToString(d[:fingerprintBytes]) }

// Limit is what a tenant's requests may reach over the whole fleet.
type Limit struct {
	// PerSecond is the lasting rate in requests a second; zero means no limit.
	PerSecond float64
	// Burst is how many requests may come on top of that.
	Burst float64
}

// Limited reports whether there is a limit.
func (l Limit) Limited() bool { return l.PerSecond > 0 }

// Tenant is an organisation whose callers share keys and a limit.
type Tenant struct {
	Name string
	Keys []KeyDigest
	// Priority is the tenant's rank; 0 is the most urgent.
	Priority int
	Limit    Limit
	// Homes limits where the tenant's requests may be run, cached and stored.
	Homes place.Homes
}

// Index finds tenants by key and by name. It is immutable; nil stands for a configuration
// that does not name tenants.
type Index struct {
	tenants []Tenant
	byKey   map[KeyDigest]*Tenant
	byName  map[string]*Tenant
}

// NewIndex returns the index of the tenants. Of two tenants with the same key the first one
// holds it.
func NewIndex(tenants []Tenant) *Index {
	index := &Index{tenants: tenants, byKey: map[KeyDigest]*Tenant{}, byName: make(map[string]*Tenant, len(tenants))}
	for i := range tenants {
		listed := &tenants[i]
		index.byName[listed.Name] = listed
		for _, key := range listed.Keys {
			if index.byKey[key] == nil {
				index.byKey[key] = listed
			}
		}
	}
	return index
}

// Tenants returns all tenants in the order of the configuration.
func (i *Index) Tenants() []Tenant {
	if i == nil {
		return nil
	}
	return i.tenants
}

// ByKey returns the tenant that holds the key, or nil.
func (i *Index) ByKey(key KeyDigest) *Tenant {
	if i == nil {
		return nil
	}
	return i.byKey[key]
}

// ByName returns the tenant of that name, or nil.
func (i *Index) ByName(name string) *Tenant {
	if i == nil {
		return nil
	}
	return i.byName[name]
}

// bearerScheme is the authentication scheme of RFC 6750.
const bearerScheme = "Bearer"

// BearerKey returns the key of an Authorization header's values; ok is false unless there
// is exactly one value with a key of that scheme.
func BearerKey(values []string) (key string, ok bool) {
	if len(values) != 1 {
		return "", false
	}
	scheme, key, _ := strings.Cut(strings.TrimSpace(values[0]), " ")
	key = strings.TrimSpace(key)
	return key, key != "" && strings.EqualFold(scheme, bearerScheme)
}
