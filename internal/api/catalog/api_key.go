package catalog

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
)

// APIKey is the secret by which a tenant is known. It writes itself as redacted, so that no
// log, error or metric has it by accident; JSON has the key itself.
type APIKey string

const redacted = "[redacted]"

// String hides the key.
func (APIKey) String() string { return redacted }

// GoString hides the key.
func (APIKey) GoString() string { return redacted }

// KeyDigest stands for an API key between processes: its HMAC by SHA-256, in hexadecimal
// digits.
type KeyDigest string

// Digest is the key's digest by a salt.
func (k APIKey) Digest(salt []byte) KeyDigest {
	mac := hmac.New(sha256.New, salt)
	mac.Write([]byte(k))
	return KeyDigest(hex.EncodeToString(mac.Sum(nil)))
}

// newKeySalt makes the salt that a catalogue keeps from its first tenants on. All servers
// come to the same one; who has not seen that change can't know it.
func newKeySalt(change *Change) []byte {
	hash := sha256.Sum256([]byte("key salt " + change.Checksum))
	return hash[:]
}

// TenantKeys are the digests of a tenant's API keys, as gateways have them.
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

// KeyTable finds tenants by their API keys.
type KeyTable struct {
	salt []byte
	// owners are found by the first bytes of a digest, the rest is compared in constant
	// time.
	owners map[KeyDigest][]keyOwner
}

type keyOwner struct {
	digest KeyDigest
	tenant string
}

// prefixDigits is how many digits of a digest lead to the owners that it is compared with.
const prefixDigits = 8

// NewKeyTable makes a table of tenants' keys.
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

// Digest is the digest by which the table knows a key.
func (t *KeyTable) Digest(key APIKey) KeyDigest { return key.Digest(t.salt) }

// Owner is the tenant to which the key of a digest belongs.
func (t *KeyTable) Owner(digest KeyDigest) (tenant string, ok bool) {
	for _, owner := range t.owners[digest.prefix()] {
		if subtle.ConstantTimeCompare([]byte(owner.digest), []byte(digest)) == 1 {
			return owner.tenant, true
		}
	}
	return "", false
}
