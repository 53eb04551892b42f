package runnerapi

import (
	"encoding/json"
	"slices"
	"strings"

	"orchidward/internal/api/identifier"
)

// scanner reads JSON of a known structure in one pass. It fails on any input that is not
// plainly valid, without giving a reason. A failure is permanent, and makes all returned values
// meaningless.
type scanner struct {
	text string
	// pos is the position of the next byte.
	pos    int
	failed bool
}

func (s *scanner) fail() { s.failed = true }

func (s *scanner) require(ok bool) {
	if !ok {
		s.fail()
	}
}

// expectEnd requires that only white space is left.
func (s *scanner) expectEnd() {
	s.skipSpace()
	s.require(s.pos == len(s.text))
}

// fieldSet is a set of an object's fields, as a bit mask of their positions in the field list.
type fieldSet uint32

func (f fieldSet) has(i int) bool { return f&(1<<i) != 0 }

// object reads an object with no fields other than the given ones, each at most once, and
// returns the set of those present. It calls value to read the value of the i-th field.
func (s *scanner) object(fields []string, value func(i int)) fieldSet {
	s.token('{')
	if s.next('}') {
		return 0
	}
	var given fieldSet
	previous := -1
	for !s.failed {
		key := s.string()
		s.token(':')
		// Fields are usually in the order of the list.
		i := previous + 1
		if i >= len(fields) || fields[i] != key {
			i = slices.Index(fields, key)
		}
		if s.failed || i < 0 || given.has(i) {
			s.fail()
			return given
		}
		previous = i
		given |= 1 << i
		value(i)
		if s.next('}') {
			return given
		}
		s.token(',')
	}
	return given
}

// list reads a list of at most limit elements, and calls element to read each one.
func (s *scanner) list(limit int, element func()) {
	s.token('[')
	if s.next(']') {
		return
	}
	for count := 1; !s.failed; count++ {
		if count > limit {
			s.fail()
			return
		}
		element()
		if s.next(']') {
			return
		}
		s.token(',')
	}
}

func (s *scanner) skipSpace() {
	for s.pos < len(s.text) {
		switch s.text[s.pos] {
		case ' ', '\t', '\r', '\n':
			s.pos++
		default:
			return
		}
	}
}

// next consumes a token if it is the next one, and reports whether it was.
func (s *scanner) next(token byte) bool {
	s.skipSpace()
	if s.pos >= len(s.text) || s.text[s.pos] != token {
		return false
	}
	s.pos++
	return true
}

// token consumes a token, and fails if it is not the next one.
func (s *scanner) token(token byte) { s.require(s.next(token)) }

// string reads a string. A string of plain ASCII without escapes is a substring of the text,
// not a copy.
func (s *scanner) string() string {
	s.token('"')
	start := s.pos
	plain := true
	for ; s.pos < len(s.text) && !s.failed; s.pos++ {
		switch c := s.text[s.pos]; {
		case c == '"':
			s.pos++
			if plain {
				return s.text[start : s.pos-1]
			}
			return s.unquote(s.text[start-1 : s.pos])
		case c == '\\':
			plain = false
			s.pos++
		case c >= 0x80:
			plain = false
		case c < ' ':
			s.fail()
		}
	}
	s.fail()
	return ""
}

// unquote decodes a quoted string.
func (s *scanner) unquote(quoted string) string {
	var decoded string
	s.require(json.Unmarshal([]byte(quoted), &decoded) == nil)
	return decoded
}

func (s *scanner) name() string {
	name := s.string()
	s.require(identifier.ValidName(name))
	return name
}

func (s *scanner) checkpoint() string {
	text := s.string()
	s.require(len(text) <= MaxCheckpointBytes)
	return text
}

func (s *scanner) oneOf(words ...string) string {
	text := s.string()
	if i := slices.Index(words, text); i >= 0 {
		return words[i]
	}
	s.fail()
	return ""
}

// maxDigits is enough for maxID, the largest number in a poll.
const maxDigits = 17

// int reads an integer without sign, decimal point or exponent.
func (s *scanner) int(low, high int64) int64 {
	s.skipSpace()
	start := s.pos
	var value int64
	for ; s.pos < len(s.text) && s.text[s.pos] >= '0' && s.text[s.pos] <= '9'; s.pos++ {
		if s.pos-start >= maxDigits {
			s.fail()
			return 0
		}
		value = value*10 + int64(s.text[s.pos]-'0')
	}
	digits := s.pos - start
	leadingZero := digits > 1 && s.text[start] == '0'
	if digits == 0 || leadingZero || value < low || value > high {
		s.fail()
		return 0
	}
	return value
}

func (s *scanner) bool() bool {
	s.skipSpace()
	rest := s.text[min(s.pos, len(s.text)):]
	switch {
	case strings.HasPrefix(rest, "true"):
		s.pos += len("true")
		return true
	case strings.HasPrefix(rest, "false"):
		s.pos += len("false")
		return false
	}
	s.fail()
	return false
}
