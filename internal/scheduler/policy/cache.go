// A Shelf keeps compiled policies by their source, so that each is compiled
// once however often it is asked for.

package policy

// Cache is a cache of compiled policies by their source. It is not safe for
// concurrent use.
type Cache struct{ by map[string]*Policy }

// NewCache makes an empty cache.
func NewCache() *Cache { return &Cache{by: map[string]*Policy{}} }

// mostKept is how many sources are kept; past it the shelf is begun anew.
const mostKept = 1024

// Get returns nil for a source that doesn't compile, which a table accepted
// by an older check may hold.
func (s *Cache) Get(text string) *Policy {
	p, known := s.by[text]
	if known {
		return p
	}
	if len(s.by) >= mostKept {
		clear(s.by)
	}
	p, err := Compile(text)
	if err != nil {
		p = nil
	}
	s.by[text] = p
	return p
}
