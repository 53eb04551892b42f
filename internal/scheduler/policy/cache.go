package policy

// Cache is a cache of compiled policies by their source, so that each is compiled once
// however often it is used. It is not safe for concurrent use.
type Cache struct {
	// bySource has nil for a source that does not compile.
	bySource map[string]*Policy
}

// maxCached is the number of sources above which the cache is emptied.
const maxCached = 1024

// NewCache returns an empty cache.
func NewCache() *Cache { return &Cache{bySource: map[string]*Policy{}} }

// Get returns the compiled policy, or nil for a source that does not compile, which a
// table may have that was accepted by the checks of an earlier version.
func (c *Cache) Get(source string) *Policy {
	compiled, ok := c.bySource[source]
	if ok {
		return compiled
	}
	if len(c.bySource) >= maxCached {
		clear(c.bySource)
	}
	compiled, err := Compile(source)
	if err != nil {
		compiled = nil
	}
	c.bySource[source] = compiled
	return compiled
}
