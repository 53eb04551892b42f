package catalog

import (
	"encoding/json"
	"maps"
	"slices"

	"orchidward/internal/api/jsondoc"
)

// sections holds the sections of a source by name.
type sections map[string]json.RawMessage

// SectionChange changes sections of the source that the catalogue itself does not use. A
// section that is a list of named items is changed item by item, as queues are; any other
// section is replaced as a whole.
type SectionChange struct {
	// Set replaces whole sections, Put adds or replaces items of sections, and Drop removes
	// items by name.
	Set  sections            `json:"set,omitempty"`
	Put  sections            `json:"put,omitempty"`
	Drop map[string][]string `json:"drop,omitempty"`
}

// The positions of the parts of a patch's "rest" list.
const (
	restPut = iota
	restDrop
	restParts
)

// readSections reads a patch's changes to sections of the source. The result is nil if the
// patch changes no section, or replaces the source by a value without sections.
func readSections(source json.RawMessage, rest []map[string]json.RawMessage, faults *jsondoc.FieldErrors) *SectionChange {
	change := &SectionChange{Drop: map[string][]string{}}
	if len(source) > 0 && json.Unmarshal(source, &change.Set) != nil {
		if len(rest) > 0 {
			faults.Malformed("rest", "only a source that is an object has sections")
		}
		return nil
	}
	if len(rest) > restParts {
		faults.Malformed("rest", "want what is put and what is dropped")
		return nil
	}
	if len(rest) > restPut {
		change.Put = rest[restPut]
	}
	if len(rest) > restDrop {
		for name, list := range rest[restDrop] {
			var names []string
			if json.Unmarshal(list, &names) != nil {
				faults.Malformed("rest", "want names to drop")
			}
			change.Drop[name] = names
		}
	}
	if len(change.Set)+len(change.Put)+len(change.Drop) == 0 {
		return nil
	}
	return change
}

// applyTo returns the source that results from the change.
func (c *SectionChange) applyTo(source json.RawMessage) json.RawMessage {
	next := sections{}
	if len(source) > 0 && json.Unmarshal(source, &next) != nil {
		next = sections{}
	}
	maps.Copy(next, c.Set)
	names := slices.Concat(slices.Collect(maps.Keys(c.Put)), slices.Collect(maps.Keys(c.Drop)))
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		next[name] = changedSection(next[name], c.Put[name], c.Drop[name])
		if next[name] == nil {
			delete(next, name)
		}
	}
	text, err := json.Marshal(next)
	if err != nil {
		panic("catalog: encoding a source: " + err.Error())
	}
	return text
}

// changedSection returns a section after items were put and dropped. If the section or put is
// not a list of named items, put replaces the section.
func changedSection(section, put json.RawMessage, drop []string) json.RawMessage {
	old, isList := readNamedItems(section)
	added, putsList := readNamedItems(put)
	if !isList || !putsList {
		if len(put) > 0 {
			return put
		}
		return section
	}
	merged := merge(old, added, drop, func(i namedItem) string { return i.name })
	texts := []json.RawMessage{}
	for _, i := range merged {
		texts = append(texts, i.text)
	}
	text, err := json.Marshal(texts)
	if err != nil {
		panic("catalog: encoding a section: " + err.Error())
	}
	return text
}

// namedItem is an item of a section, with its text as the operator sent it.
type namedItem struct {
	name string
	text json.RawMessage
}

// readNamedItems reads a list of items that all have a name. A missing section counts as an
// empty list.
func readNamedItems(section json.RawMessage) (items []namedItem, ok bool) {
	if len(section) == 0 {
		return nil, true
	}
	var texts []json.RawMessage
	if json.Unmarshal(section, &texts) != nil {
		return nil, false
	}
	for _, text := range texts {
		var item struct {
			Name string `json:"name"`
		}
		if json.Unmarshal(text, &item) != nil || item.Name == "" {
			return nil, false
		}
		items = append(items, namedItem{item.Name, text})
	}
	return items, true
}
