package httpserver

import (
	"slices"
	"strings"
	"testing"
)

// TestRequestsOnOneConnection checks that whatever a connection carries, a request is executed
// only if it was received completely, and only once, and that the responses match the requests
// in order. Data after a rejected request is read either as the next request, starting after
// the complete body, or not at all.
func TestRequestsOnOneConnection(t *testing.T) {
	large := strings.Repeat("b", 4*maxEchoBody)
	huge := strings.Repeat("b", 1<<20)
	hidden := rawRequest("PUT", "/hidden", "9", withLength(0), "")
	get := rawRequest("GET", "/next", "2", "", "")
	for _, test := range []struct {
		name   string
		stream string
		// ids are the IDs of the requests that must be executed.
		ids string
		// statuses are the statuses of all responses, nil if the server may reset the
		// connection.
		statuses []int
	}{
		{"pipelined", rawRequest("PUT", "/a", "1", withLength(3), "abc") + get + rawRequest("DELETE", "/c", "3", "", "") + rawRequest("POST", "/d", "4", chunked, "3\r\nxyz\r\n0\r\n\r\n"), "1 2 3 4", []int{200, 200, 200, 200}},
		{"HEAD pipelined", rawRequest("HEAD", "/a", "1", "", "") + get, "1 2", []int{200, 200}},
		{"truncated header", get + "PUT /a HTTP/1.1\r\nHost: a.exa", "2", []int{200, 400}},
		{"reset between head and body", get + rawRequest("PUT", "/a", "1", withLength(3), ""), "2", []int{200, 400}},
		{"truncated body", get + rawRequest("PUT", "/a", "1", withLength(5), "abc"), "2", []int{200, 400}},
		{"truncated chunk", get + rawRequest("PUT", "/a", "1", chunked, "5\r\nabc"), "2", []int{200, 400}},
		{"last chunk missing", get + rawRequest("PUT", "/a", "1", chunked, "3\r\nabc\r\n"), "2", []int{200, 400}},
		{"body longer than its length", rawRequest("PUT", "/a", "1", withLength(3), "abcdef") + get, "1", []int{200, 405}},
		{"body without a length", rawRequest("PUT", "/a", "1", "", "abcdef\r\n\r\n") + get, "1", []int{200, 400}},
		{"body shorter than its length consumes the next request", rawRequest("PUT", "/a", "1", withLength(5+len(get)), "abc") + get, "", []int{400}},
		{"early response, body follows", rawRequest("PUT", "/early", "1", withLength(len(hidden)), hidden) + get, "2", []int{503, 200}},
		{"early response, truncated body", rawRequest("PUT", "/early", "1", withLength(len(hidden)+9), hidden), "", []int{503}},
		{"early response, chunks follow", rawRequest("PUT", "/early", "1", chunked, oneChunk(hidden)) + get, "2", []int{503, 200}},
		{"too large, rest follows", rawRequest("PUT", "/a", "1", withLength(len(large)+len(hidden)), large+hidden) + get, "2", []int{413, 200}},
		{"conflicting lengths", rawRequest("PUT", "/a", "1", withLength(3)+withLength(4), "abcd") + get, "", []int{400}},
		{"equal lengths", rawRequest("PUT", "/a", "1", withLength(3)+withLength(3), "abc") + get, "1 2", []int{200, 200}},
		{"negative length", rawRequest("PUT", "/a", "1", withLength(-3), "abc") + get, "", []int{400}},
		{"length with a sign", rawRequest("PUT", "/a", "1", "Content-Length: +3\r\n", "abc") + get, "", []int{400}},
		{"two transfer codings", rawRequest("PUT", "/a", "1", chunked+chunked, "0\r\n\r\n") + get, "", []int{501}},
		{"unknown transfer coding", rawRequest("PUT", "/a", "1", "Transfer-Encoding: gzip\r\n", "abc") + get, "", []int{501}},
		{"length and transfer coding", rawRequest("PUT", "/a", "1", withLength(0)+chunked, oneChunk("abc")), "1", []int{200}},
		{"invalid chunk size", rawRequest("PUT", "/a", "1", chunked, "zz\r\nabc\r\n0\r\n\r\n") + get, "", []int{400}},
		{"two Host headers", rawRequest("PUT", "/a", "1", "Host: b.example\r\n"+withLength(0), "") + get, "", []int{400}},
		{"100-continue", rawRequest("PUT", "/a", "1", "Expect: 100-continue\r\n"+withLength(3), "abc") + get, "1 2", []int{200, 200}},
		{"100-continue rejected", rawRequest("PUT", "/early", "1", "Expect: 100-continue\r\n"+withLength(len(hidden)), hidden) + get, "", []int{503}},
		{"unknown expectation", rawRequest("PUT", "/a", "1", "Expect: wonders\r\n"+withLength(0), ""), "", []int{417}},
		{"Connection: close", rawRequest("PUT", "/a", "1", "Connection: close\r\n"+withLength(3), "abc") + get, "1", []int{200}},
		{"HTTP/1.0", "PUT /a HTTP/1.0\r\n" + requestIDHeader + ": 1\r\n" + withLength(3) + "\r\nabc" + get, "1", []int{200}},
		{"far too large", rawRequest("PUT", "/a", "1", withLength(len(huge)+len(hidden)), huge+hidden) + get, "", nil},
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
				for _, call := range executedCalls(calls) {
					list = append(list, call.id)
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
