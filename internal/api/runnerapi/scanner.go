package runnerapi

import (
	"encoding/json"
	"slices"
	"strings"

	"orchidward/internal/api/identifier"
)

// scanner reads JSON whose shape is known, in one pass. It fails at whatever is not plainly
// valid and does not say why. Once it has failed it stays so, and what it returned means
// nothing.
type scanner struct {
	text string
	// at is the position of the next byte.
	at     int
	failed bool
}

func (s *scanner) fail() { s.failed = true }

func (s *scanner) require(ok bool) {
	if !ok {
		s.fail()
	}
}

// end requires that nothing but space is left.
func (s *scanner) end() {
	s.space()
	s.require(s.at == len(s.text))
}

// fieldSet is a set of an object's fields, by their position in the list of its fields.
type fieldSet uint32

func (f fieldSet) has(i int) bool { return f&(1<<i) != 0 }

// object reads an object that has none but these fields, each at most once, and returns
// those that it has. value reads the value of the i-th field.
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
		// Fields mostly come in the order of the list.
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

// list reads a list of at most limit elements, each by element.
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

func (s *scanner) space() {
	for s.at < len(s.text) {
		switch s.text[s.at] {
		case ' ', '\t', '\r', '\n':
			s.at++
		default:
			return
		}
	}
}

// next skips a token if it comes next.
func (s *scanner) next(token byte) bool {
	s.space()
	if s.at >= len(s.text) || s.text[s.at] != token {
		return false
	}
	s.at++
	return true
}

// token skips a token that must come next.
func (s *scanner) token(token byte) { s.require(s.next(token)) }

// string reads a string. When it has no escapes it is a part of the text, not a copy.
func (s *scanner) string() string {
	s.token('"')
	start := s.at
	plain := true
	for ; s.at < len(s.text) && !s.failed; s.at++ {
		switch c := s.text[s.at]; {
		case c == '"':
			s.at++
			if plain {
				return s.text[start : s.at-1]
			}
			return s.unquote(s.text[start-1 : s.at])
		case c == '\\':
			plain = false
			s.at++
		case c >= 0x80:
			plain = false
		case c < ' ':
			s.fail()
		}
	}
	s.fail()
	return ""
}

// unquote decodes a string with its quotes.
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

// maxDigits is enough for maxID, the largest number of a poll.
const maxDigits = 17

// int reads a whole number without sign, point or exponent.
func (s *scanner) int(low, high int64) int64 {
	s.space()
	start := s.at
	var value int64
	for ; s.at < len(s.text) && s.text[s.at] >= '0' && s.text[s.at] <= '9'; s.at++ {
		if s.at-start >= maxDigits {
			s.fail()
			return 0
		}
		value = value*10 + int64(s.text[s.at]-'0')
	}
	digits := s.at - start
	leadingZero := digits > 1 && s.text[start] == '0'
	if digits == 0 || leadingZero || value < low || value > high {
		s.fail()
		return 0
	}
	return value
}

func (s *scanner) bool() bool {
	s.space()
	rest := s.text[min(s.at, len(s.text)):]
	switch {
	case strings.HasPrefix(rest, "true"):
		s.at += len("true")
		return true
	case strings.HasPrefix(rest, "false"):
		s.at += len("false")
		return false
	}
	s.fail()
	return false
}
