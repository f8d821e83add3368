// Package tenant identifies the organisation that a caller belongs to by its API key, using the
// mapping of keys to tenants in the current configuration. Keys are stored only as digests, so
// that none can reach a log line, a metric, a copy on disk or another process.
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

// fingerprintBytes is the length of the prefix of a digest that logs show: enough to
// distinguish the keys of a fleet (10,000 keys have a collision probability of 1 in 100), too
// short to recover a key.
const fingerprintBytes = 4

// Fingerprint returns the prefix of the digest that logs show, in hexadecimal.
func (d KeyDigest) Fingerprint() string { return hex.EncodeToString(d[:fingerprintBytes]) }

// Limit is the rate limit of a tenant over the whole fleet.
type Limit struct {
	// PerSecond is the sustained rate in requests per second; zero means no limit.
	PerSecond float64
	// Burst is the number of requests allowed in excess of the rate.
	Burst float64
}

// Limited reports whether there is a limit.
func (l Limit) Limited() bool { return l.PerSecond > 0 }

// Tenant is an organisation whose callers share keys and a rate limit.
type Tenant struct {
	Name string
	Keys []KeyDigest
	// Priority is the tenant's priority; 0 is the most urgent.
	Priority int
	Limit    Limit
	// Homes restricts the regions in which the tenant's requests may be run, cached and stored.
	Homes place.Homes
}

// Index looks up tenants by key and by name. It is immutable. A nil Index stands for a
// configuration without tenants.
type Index struct {
	tenants []Tenant
	byKey   map[KeyDigest]*Tenant
	byName  map[string]*Tenant
}

// NewIndex returns the index of the tenants. A key that several tenants list belongs to the
// first one.
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

// ByKey returns the tenant with the key, or nil.
func (i *Index) ByKey(key KeyDigest) *Tenant {
	if i == nil {
		return nil
	}
	return i.byKey[key]
}

// ByName returns the tenant with the name, or nil.
func (i *Index) ByName(name string) *Tenant {
	if i == nil {
		return nil
	}
	return i.byName[name]
}

// bearerScheme is the authentication scheme of RFC 6750.
const bearerScheme = "Bearer"

// BearerKey returns the key from the values of the Authorization header. ok is false unless
// there is exactly one value and it holds a non-empty key of the Bearer scheme.
func BearerKey(values []string) (key string, ok bool) {
	if len(values) != 1 {
		return "", false
	}
	scheme, key, _ := strings.Cut(strings.TrimSpace(values[0]), " ")
	key = strings.TrimSpace(key)
	return key, key != "" && strings.EqualFold(scheme, bearerScheme)
}
