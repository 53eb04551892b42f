package catalog

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
)

// APIKey is the secret that authenticates a tenant. It formats as "[redacted]", so that it
// does not end up in a log, error or metric by accident; its JSON encoding is the key itself.
type APIKey string

const redacted = "[redacted]"

// String returns "[redacted]" in place of the key.
func (APIKey) String() string { return redacted }

// GoString returns "[redacted]" in place of the key.
func (APIKey) GoString() string { return redacted }

// KeyDigest represents an API key in messages between processes: its HMAC-SHA-256 in
// hexadecimal.
type KeyDigest string

// Digest returns the digest of the key under a salt.
func (k APIKey) Digest(salt []byte) KeyDigest {
	mac := hmac.New(sha256.New, salt)
	mac.Write([]byte(k))
	return KeyDigest(hex.EncodeToString(mac.Sum(nil)))
}

// newKeySalt derives the salt that a catalogue keeps from its first tenants on. It is
// deterministic, so that all servers derive the same salt, and cannot be computed without
// the change.
func newKeySalt(change *Change) []byte {
	hash := sha256.Sum256([]byte("key salt " + change.Checksum))
	return hash[:]
}

// TenantKeys holds the digests of a tenant's API keys, in the form that gateways receive.
type TenantKeys struct {
	Tenant  string      `json:"tenant"`
	Digests []KeyDigest `json:"digests"`
}

// TenantKeys lists the digests of all tenants' keys.
func (c *Catalog) TenantKeys() []TenantKeys {
	var list []TenantKeys
	for _, tenant := range c.Tenants {
		keys := TenantKeys{Tenant: tenant.Name}
		for _, key := range tenant.Keys {
			keys.Digests = append(keys.Digests, key.Digest(c.KeySalt))
		}
		list = append(list, keys)
	}
	return list
}

// KeyTable looks up tenants by their API keys.
type KeyTable struct {
	salt []byte
	// owners is indexed by the prefix of a digest. Whole digests are compared in constant
	// time.
	owners map[KeyDigest][]keyOwner
}

type keyOwner struct {
	digest KeyDigest
	tenant string
}

// prefixDigits is the number of leading digits of a digest that index KeyTable.owners.
const prefixDigits = 8

// NewKeyTable returns a table of the tenants' keys.
func NewKeyTable(salt []byte, tenants []TenantKeys) *KeyTable {
	t := &KeyTable{salt: salt, owners: map[KeyDigest][]keyOwner{}}
	for _, keys := range tenants {
		for _, digest := range keys.Digests {
			prefix := digest.prefix()
			t.owners[prefix] = append(t.owners[prefix], keyOwner{digest, keys.Tenant})
		}
	}
	return t
}

func (d KeyDigest) prefix() KeyDigest { return d[:min(len(d), prefixDigits)] }

// Digest returns the digest of a key under the table's salt.
func (t *KeyTable) Digest(key APIKey) KeyDigest { return key.Digest(t.salt) }

// Owner returns the tenant that owns the key with the given digest.
func (t *KeyTable) Owner(digest KeyDigest) (tenant string, ok bool) {
	for _, owner := range t.owners[digest.prefix()] {
		if subtle.ConstantTimeCompare([]byte(owner.digest), []byte(digest)) == 1 {
			return owner.tenant, true
		}
	}
	return "", false
}
