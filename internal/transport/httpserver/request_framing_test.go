package httpserver

import (
	"slices"
	"strings"
	"testing"
)

// TestRequestsOnOneConnection checks that whatever a connection carries, a request is
// carried out only if it came completely, and once, and that the responses are those to
// the requests in their order. What follows a refused request is either read as the next
// request, after the complete body, or not at all.
func TestRequestsOnOneConnection(t *testing.T) {
	large := strings.Repeat("b", 4*maxEchoBody)
	huge := strings.Repeat("b", 1<<20)
	hidden := rawRequest("PUT", "/hidden", "9", withLength(0), "")
	get := rawRequest("GET", "/next", "2", "", "")
	for _, test := range []struct {
		name   string
		stream string
		// ids are those of the requests that are carried out.
		ids string
		// statuses are those of all responses, nil where the server may reset.
		statuses []int
	}{
		{"pipelined", rawRequest("PUT", "/a", "1", withLength(3), "abc") + get + rawRequest("DELETE", "/c", "3", "", "") + rawRequest("POST", "/d", "4", chunked, "3\r\nxyz\r\n0\r\n\r\n"), "1 2 3 4", []int{200, 200, 200, 200}},
		{"HEAD between", rawRequest("HEAD", "/a", "1", "", "") + get, "1 2", []int{200, 200}},
		{"head cut short", get + "PUT /a HTTP/1.1\r\nHost: a.exa", "2", []int{200, 400}},
		{"reset between head and body", get + rawRequest("PUT", "/a", "1", withLength(3), ""), "2", []int{200, 400}},
		{"body cut short", get + rawRequest("PUT", "/a", "1", withLength(5), "abc"), "2", []int{200, 400}},
		{"chunk cut short", get + rawRequest("PUT", "/a", "1", chunked, "5\r\nabc"), "2", []int{200, 400}},
		{"last chunk missing", get + rawRequest("PUT", "/a", "1", chunked, "3\r\nabc\r\n"), "2", []int{200, 400}},
		{"body longer than its length", rawRequest("PUT", "/a", "1", withLength(3), "abcdef") + get, "1", []int{200, 405}},
		{"body of one that has none", rawRequest("PUT", "/a", "1", "", "abcdef\r\n\r\n") + get, "1", []int{200, 400}},
		{"a body shorter than its length takes the next request in", rawRequest("PUT", "/a", "1", withLength(5+len(get)), "abc") + get, "", []int{400}},
		{"early answer, the body follows", rawRequest("PUT", "/early", "1", withLength(len(hidden)), hidden) + get, "2", []int{503, 200}},
		{"early answer, body cut short", rawRequest("PUT", "/early", "1", withLength(len(hidden)+9), hidden), "", []int{503}},
		{"early answer, chunks follow", rawRequest("PUT", "/early", "1", chunked, oneChunk(hidden)) + get, "2", []int{503, 200}},
		{"too large, the rest follows", rawRequest("PUT", "/a", "1", withLength(len(large)+len(hidden)), large+hidden) + get, "2", []int{413, 200}},
		{"lengths that conflict", rawRequest("PUT", "/a", "1", withLength(3)+withLength(4), "abcd") + get, "", []int{400}},
		{"lengths that agree", rawRequest("PUT", "/a", "1", withLength(3)+withLength(3), "abc") + get, "1 2", []int{200, 200}},
		{"a length below zero", rawRequest("PUT", "/a", "1", withLength(-3), "abc") + get, "", []int{400}},
		{"a length with a sign", rawRequest("PUT", "/a", "1", "Content-Length: +3\r\n", "abc") + get, "", []int{400}},
		{"two codings", rawRequest("PUT", "/a", "1", chunked+chunked, "0\r\n\r\n") + get, "", []int{501}},
		{"an unknown coding", rawRequest("PUT", "/a", "1", "Transfer-Encoding: gzip\r\n", "abc") + get, "", []int{501}},
		{"length and coding", rawRequest("PUT", "/a", "1", withLength(0)+chunked, oneChunk("abc")), "1", []int{200}},
		{"chunk size that is none", rawRequest("PUT", "/a", "1", chunked, "zz\r\nabc\r\n0\r\n\r\n") + get, "", []int{400}},
		{"two hosts", rawRequest("PUT", "/a", "1", "Host: b.example\r\n"+withLength(0), "") + get, "", []int{400}},
		{"it asks before it sends", rawRequest("PUT", "/a", "1", "Expect: 100-continue\r\n"+withLength(3), "abc") + get, "1 2", []int{200, 200}},
		{"it asks and is refused", rawRequest("PUT", "/early", "1", "Expect: 100-continue\r\n"+withLength(len(hidden)), hidden) + get, "", []int{503}},
		{"it expects something else", rawRequest("PUT", "/a", "1", "Expect: wonders\r\n"+withLength(0), ""), "", []int{417}},
		{"it says that it closes", rawRequest("PUT", "/a", "1", "Connection: close\r\n"+withLength(3), "abc") + get, "1", []int{200}},
		{"of an older version", "PUT /a HTTP/1.0\r\n" + requestIDHeader + ": 1\r\n" + withLength(3) + "\r\nabc" + get, "1", []int{200}},
		{"too large by far", rawRequest("PUT", "/a", "1", withLength(len(huge)+len(hidden)), huge+hidden) + get, "", nil},
	} {
		for kind, newEcho := range map[string]func(testing.TB) (*echo, string){"one handler": newHandlerEcho, "routed": newRoutedEcho} {
			e, addr := newEcho(t)
			for _, piece := range []int{0, 1, 7} {
				if piece == 1 && len(test.stream) > 4096 {
					continue
				}
				answers, local, clean := exchange(t, addr, []byte(test.stream), piece)
				calls := e.takeCalls(local)
				list := []string{}
				for _, one := range carriedOut(calls) {
					list = append(list, one.id)
				}
				if got := strings.Join(list, " "); got != test.ids {
					t.Errorf("%s (%s, pieces of %d): carried out %q, want %q", test.name, kind, piece, got, test.ids)
				}
				got := checkResponses(t, answers, calls, clean)
				if test.statuses != nil && clean && !slices.Equal(got, test.statuses) {
					t.Errorf("%s (%s, pieces of %d): answered %v, want %v", test.name, kind, piece, got, test.statuses)
				}
			}
		}
	}
}
