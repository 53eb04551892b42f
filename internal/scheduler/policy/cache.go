package policy

// Cache caches compiled policies by their source, so that each is compiled only once. It is
// not safe for concurrent use.
type Cache struct {
	// bySource maps a source that does not compile to nil.
	bySource map[string]*Policy
}

// maxCached is the number of sources at which the cache is cleared.
const maxCached = 1024

// NewCache returns an empty cache.
func NewCache() *Cache { return &Cache{bySource: map[string]*Policy{}} }

// Get returns the compiled policy, or nil if the source does not compile. A limits table
// may contain such a source if the checks of an earlier version accepted it.
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
