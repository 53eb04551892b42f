package httpserver

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gin-gonic/gin"

	"orchidward/internal/daemon/lifecycle"
)

const (
	idHeader     = "X-Id"
	echoHeader   = "X-Echo"
	echoBodyMost = 64
	streamWait   = 20 * time.Second
)

// executed is one request that a handler took in whole and carried out.
type executed struct {
	method, path, id, body string
}

func (e executed) String() string {
	return fmt.Sprintf("%s %s id %s body %q", e.method, e.path, e.id, e.body)
}

// handled is one call of a handler: what it carried out, or the status with
// which it refused.
type handled struct {
	executed
	refused int
}

// account is what the answer to this very request says of it.
func (h handled) account() string {
	if h.refused != 0 {
		return fmt.Sprintf("%q refused with %d", h.method, h.refused)
	}
	return fmt.Sprintf("%q", h.String())
}

var echoMethods = []string{"GET", "HEAD", "PUT", "POST", "PATCH", "DELETE"}

// echo is a handler that answers each request with its own account, and notes
// in what order they came on which connection.
type echo struct {
	mu    sync.Mutex
	calls map[string][]handled
}

func (e *echo) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	one := read(w, r)
	e.mu.Lock()
	e.calls[r.RemoteAddr] = append(e.calls[r.RemoteAddr], one)
	e.mu.Unlock()
	w.Header().Set(echoHeader, one.account())
	if one.refused != 0 {
		w.WriteHeader(one.refused)
		return
	}
	_, _ = io.WriteString(w, one.String())
}

// read takes a request in, as the product's handlers do.
func read(w http.ResponseWriter, r *http.Request) handled {
	var one handled
	one.executed = executed{method: r.Method, path: r.URL.Path, id: r.Header.Get(idHeader)}
	if r.URL.Path == "/early" {
		one.refused = http.StatusServiceUnavailable
		return one
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, echoBodyMost))
	one.body = string(body)
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		one.refused = http.StatusRequestEntityTooLarge
	case err != nil:
		one.refused = http.StatusBadRequest
	case !slices.Contains(echoMethods, r.Method):
		one.refused = http.StatusMethodNotAllowed
	}
	return one
}

// carriedOut leaves out what was refused.
func carriedOut(calls []handled) []executed {
	var list []executed
	for _, one := range calls {
		if one.refused == 0 {
			list = append(list, one.executed)
		}
	}
	return list
}

// take hands over what came on a connection.
func (e *echo) take(addr string) []handled {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := e.calls[addr]
	delete(e.calls, addr)
	return list
}

// bareEcho serves an echo on a bare server.
func bareEcho(t testing.TB) (e *echo, addr string) {
	e = &echo{calls: map[string][]handled{}}
	s, err := NewHandlerServer("127.0.0.1:0", e)
	if err != nil {
		t.Fatal(err)
	}
	start(t, s)
	return e, s.Addr()
}

// routedEcho serves an echo on a server with routes.
func routedEcho(t testing.TB) (e *echo, addr string) {
	e = &echo{calls: map[string][]handled{}}
	s, err := New("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.Gin.NoRoute(func(c *gin.Context) {
		c.Status(http.StatusOK)
		e.ServeHTTP(c.Writer, c.Request)
	})
	start(t, s)
	return e, s.Addr()
}

func start(t testing.TB, s *Server) {
	c := lifecycle.New()
	s.Serve(c)
	t.Cleanup(func() {
		s.http.Close()
		_ = c.Stop(context.Background())
	})
}

// exchange writes a stream in pieces, ends it and reads all that comes back.
// Clean is false when the connection was reset, so that answers may be missing.
func exchange(t testing.TB, addr string, stream []byte, piece int) (answers []byte, local string, clean bool) {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(streamWait))
	for rest := stream; len(rest) > 0; {
		n := len(rest)
		if piece > 0 {
			n = min(n, piece)
		}
		if _, err = conn.Write(rest[:n]); err != nil {
			break
		}
		rest = rest[n:]
	}
	_ = conn.(*net.TCPConn).CloseWrite()
	answers, err = io.ReadAll(conn)
	var late net.Error
	if errors.As(err, &late) && late.Timeout() {
		t.Fatalf("no end of the answers to %q", stream)
	}
	return answers, conn.LocalAddr().String(), err == nil
}

// statuses checks that each answer of a handler is that of the request whose
// turn it is, and lists the status of every answer.
func statuses(t testing.TB, answers []byte, calls []handled, clean bool) []int {
	var list []int
	t.Helper()
	in, next := bufio.NewReader(bytes.NewReader(answers)), 0
	for {
		if _, err := in.Peek(1); err != nil {
			break
		}
		method := http.MethodGet
		if next < len(calls) {
			method = calls[next].method
		}
		res, err := http.ReadResponse(in, &http.Request{Method: method})
		if err != nil {
			if clean {
				t.Errorf("an answer does not parse: %v in %q", err, answers)
			}
			break
		}
		body, err := io.ReadAll(res.Body)
		if err != nil && clean {
			t.Errorf("an answer is cut short: %q", answers)
		}
		if res.StatusCode < 200 {
			continue
		}
		list = append(list, res.StatusCode)
		account := res.Header.Get(echoHeader)
		if account == "" {
			continue
		}
		if next >= len(calls) {
			t.Fatalf("%d requests were handled and more answered: %q", len(calls), answers)
		}
		want := calls[next]
		next++
		if account != want.account() {
			t.Errorf("%s was answered with %s", want.account(), account)
		}
		if want.refused == 0 && method != http.MethodHead && err == nil && string(body) != want.String() {
			t.Errorf("%v was answered with %q", want, body)
		}
	}
	if clean && next != len(calls) {
		t.Errorf("%d requests were handled, %d answered: %q", len(calls), next, answers)
	}
	return list
}

// request writes one request by hand.
func request(method, path, id, more, body string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: a.example\r\n" + idHeader + ": " + id + "\r\n" + more + "\r\n" + body
}

func withLength(n int) string { return fmt.Sprintf("Content-Length: %d\r\n", n) }

const chunked = "Transfer-Encoding: chunked\r\n"

// TestRequestsOnOneConnection: whatever a connection carries, a request is
// carried out only if it came whole, once, and the answers are those of the
// requests in their order. What follows a request that was refused is either
// read as the next request, after the whole body, or not at all.
func TestRequestsOnOneConnection(t *testing.T) {
	large := strings.Repeat("b", 4*echoBodyMost)
	huge := strings.Repeat("b", 1<<20)
	hidden := request("PUT", "/hidden", "9", withLength(0), "")
	get := request("GET", "/next", "2", "", "")
	for _, c := range []struct {
		name, stream string
		ids          string
		statuses     []int
	}{
		{"pipelined", request("PUT", "/a", "1", withLength(3), "abc") + get + request("DELETE", "/c", "3", "", "") + request("POST", "/d", "4", chunked, "3\r\nxyz\r\n0\r\n\r\n"), "1 2 3 4", []int{200, 200, 200, 200}},
		{"HEAD between", request("HEAD", "/a", "1", "", "") + get, "1 2", []int{200, 200}},
		{"head cut short", get + "PUT /a HTTP/1.1\r\nHost: a.exa", "2", []int{200, 400}},
		{"reset between head and body", get + request("PUT", "/a", "1", withLength(3), ""), "2", []int{200, 400}},
		{"body cut short", get + request("PUT", "/a", "1", withLength(5), "abc"), "2", []int{200, 400}},
		{"chunk cut short", get + request("PUT", "/a", "1", chunked, "5\r\nabc"), "2", []int{200, 400}},
		{"last chunk missing", get + request("PUT", "/a", "1", chunked, "3\r\nabc\r\n"), "2", []int{200, 400}},
		{"body longer than its length", request("PUT", "/a", "1", withLength(3), "abcdef") + get, "1", []int{200, 405}},
		{"body of one that has none", request("PUT", "/a", "1", "", "abcdef\r\n\r\n") + get, "1", []int{200, 400}},
		{"a body shorter than its length takes the next request in", request("PUT", "/a", "1", withLength(5+len(get)), "abc") + get, "", []int{400}},
		{"early answer, the body follows", request("PUT", "/early", "1", withLength(len(hidden)), hidden) + get, "2", []int{503, 200}},
		{"early answer, body cut short", request("PUT", "/early", "1", withLength(len(hidden)+9), hidden), "", []int{503}},
		{"early answer, chunks follow", request("PUT", "/early", "1", chunked, fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(hidden), hidden)) + get, "2", []int{503, 200}},
		{"too large, the rest follows", request("PUT", "/a", "1", withLength(len(large)+len(hidden)), large+hidden) + get, "2", []int{413, 200}},
		{"lengths that conflict", request("PUT", "/a", "1", withLength(3)+withLength(4), "abcd") + get, "", []int{400}},
		{"lengths that agree", request("PUT", "/a", "1", withLength(3)+withLength(3), "abc") + get, "1 2", []int{200, 200}},
		{"a length below zero", request("PUT", "/a", "1", withLength(-3), "abc") + get, "", []int{400}},
		{"a length with a sign", request("PUT", "/a", "1", "Content-Length: +3\r\n", "abc") + get, "", []int{400}},
		{"two codings", request("PUT", "/a", "1", chunked+chunked, "0\r\n\r\n") + get, "", []int{501}},
		{"an unknown coding", request("PUT", "/a", "1", "Transfer-Encoding: gzip\r\n", "abc") + get, "", []int{501}},
		{"length and coding", request("PUT", "/a", "1", withLength(0)+chunked, fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", 3, "abc")), "1", []int{200}},
		{"chunk size that is none", request("PUT", "/a", "1", chunked, "zz\r\nabc\r\n0\r\n\r\n") + get, "", []int{400}},
		{"two hosts", request("PUT", "/a", "1", "Host: b.example\r\n"+withLength(0), "") + get, "", []int{400}},
		{"it asks before it sends", request("PUT", "/a", "1", "Expect: 100-continue\r\n"+withLength(3), "abc") + get, "1 2", []int{200, 200}},
		{"it asks and is refused", request("PUT", "/early", "1", "Expect: 100-continue\r\n"+withLength(len(hidden)), hidden) + get, "", []int{503}},
		{"it expects something else", request("PUT", "/a", "1", "Expect: wonders\r\n"+withLength(0), ""), "", []int{417}},
		{"it says that it closes", request("PUT", "/a", "1", "Connection: close\r\n"+withLength(3), "abc") + get, "1", []int{200}},
		{"of an older version", "PUT /a HTTP/1.0\r\n" + idHeader + ": 1\r\n" + withLength(3) + "\r\nabc" + get, "1", []int{200}},
		{"too large by far", request("PUT", "/a", "1", withLength(len(huge)+len(hidden)), huge+hidden) + get, "", nil},
	} {
		for kind, serve := range map[string]func(testing.TB) (*echo, string){"bare": bareEcho, "routed": routedEcho} {
			e, addr := serve(t)
			for _, piece := range []int{0, 1, 7} {
				if piece == 1 && len(c.stream) > 4096 {
					continue
				}
				answers, local, clean := exchange(t, addr, []byte(c.stream), piece)
				calls := e.take(local)
				list := []string{}
				for _, one := range carriedOut(calls) {
					list = append(list, one.id)
				}
				if got := strings.Join(list, " "); got != c.ids {
					t.Errorf("%s (%s, pieces of %d): carried out %q, want %q", c.name, kind, piece, got, c.ids)
				}
				got := statuses(t, answers, calls, clean)
				if c.statuses != nil && clean && !slices.Equal(got, c.statuses) {
					t.Errorf("%s (%s, pieces of %d): answered %v, want %v", c.name, kind, piece, got, c.statuses)
				}
			}
		}
	}
}

// TestGivenUpConnection: the answer to a request whose caller has closed its
// connection reaches nobody: requests on the connection after it get their own.
func TestGivenUpConnection(t *testing.T) {
	in, out := make(chan bool), make(chan bool)
	s, err := NewHandlerServer("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			in <- true
			<-out
		}
		_, _ = io.WriteString(w, r.URL.Path)
	}))
	if err != nil {
		t.Fatal(err)
	}
	start(t, s)
	first, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(first, request("PUT", "/slow", "1", withLength(0), "")+request("PUT", "/behind", "2", withLength(0), ""))
	<-in
	_ = first.(*net.TCPConn).SetLinger(0)
	first.Close()
	second, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer second.Close()
	_ = second.SetDeadline(time.Now().Add(streamWait))
	close(out)
	for _, path := range []string{"/one", "/two"} {
		_, _ = io.WriteString(second, request("GET", path, "3", "", ""))
	}
	reader := bufio.NewReader(second)
	for _, path := range []string{"/one", "/two"} {
		res, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		if body, _ := io.ReadAll(res.Body); string(body) != path {
			t.Errorf("%s was answered with %q", path, body)
		}
	}
}

// TestResetWithinBody: a request whose connection is reset after any byte of its
// body but the last is not one that came whole.
func TestResetWithinBody(t *testing.T) {
	const body = "abcdefgh"
	in, outcome := make(chan bool), make(chan error)
	s, err := NewHandlerServer("127.0.0.1:0", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		in <- true
		_, err := io.ReadAll(r.Body)
		outcome <- err
	}))
	if err != nil {
		t.Fatal(err)
	}
	start(t, s)
	for n := range len(body) {
		for _, head := range []string{withLength(len(body)), chunked} {
			text := request("PUT", "/a", "1", head, "")
			if head == chunked {
				text += fmt.Sprintf("%x\r\n", len(body))
			}
			conn, err := net.Dial("tcp", s.Addr())
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.WriteString(conn, text+body[:n])
			<-in
			_ = conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
			if err = <-outcome; err == nil {
				t.Errorf("a body of which %d of %d bytes came passed for whole", n, len(body))
			}
		}
	}
}

var plainHost = regexp.MustCompile(`^[a-z.]+$`)
var printable = regexp.MustCompile(`^[!-~]([ -~]*[!-~])?$`)

// plain reports whether a request is beyond doubt one that must be carried out.
func plain(r *http.Request, raw []byte, body []byte) bool {
	head, _, _ := bytes.Cut(raw, []byte("\r\n\r\n"))
	if r.ProtoMajor != 1 || r.ProtoMinor != 1 || r.Close || !plainHost.MatchString(r.Host) || len(raw) > 4096 || len(body) > echoBodyMost || !slices.Contains(echoMethods, r.Method) {
		return false
	}
	if !strings.HasPrefix(r.RequestURI, "/") || r.URL.Path == "/early" || bytes.Count(bytes.ToLower(head), []byte("host")) != 1 {
		return false
	}
	for name, values := range r.Header {
		if name != idHeader && name != "Content-Length" || len(values) != 1 || !printable.MatchString(values[0]) {
			return false
		}
	}
	return len(r.TransferEncoding) == 0 || r.ContentLength < 0
}

// whole reads the requests that stand whole in a stream, one after another; the
// first certain of them are plain. It ends at the first that is none.
func whole(stream []byte) (list []executed, certain int) {
	source := bytes.NewReader(stream)
	in := bufio.NewReader(source)
	doubt := false
	for {
		if n := len(list); n > 0 && list[n-1].method == http.MethodPost {
			skipLineEnds(in)
		}
		begin := len(stream) - source.Len() - in.Buffered()
		r, err := http.ReadRequest(in)
		if err != nil {
			return list, certain
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return list, certain
		}
		list = append(list, executed{r.Method, r.URL.Path, r.Header.Get(idHeader), string(body)})
		raw := stream[begin : len(stream)-source.Len()-in.Buffered()]
		if doubt = doubt || !plain(r, raw, body); !doubt {
			certain++
		}
	}
}

// skipLineEnds passes over what old clients send behind the body of a POST.
func skipLineEnds(in *bufio.Reader) {
	ends, _ := in.Peek(4)
	for _, b := range ends {
		if b != '\r' && b != '\n' {
			return
		}
		_, _ = in.Discard(1)
	}
}

// checkStream sends a stream and compares what was carried out with what stands
// in it; certain is how many of its first requests had to be.
func checkStream(t testing.TB, e *echo, addr string, stream []byte, piece int) int {
	t.Helper()
	answers, local, clean := exchange(t, addr, stream, piece)
	calls := e.take(local)
	statuses(t, answers, calls, clean)
	done := carriedOut(calls)
	list, certain := whole(stream)
	if len(done) < certain {
		t.Errorf("%d requests stand whole in %q, only %v were carried out", certain, stream, done)
	}
	at := 0
	for _, one := range done {
		for at < len(list) && list[at] != one {
			at++
		}
		if at == len(list) {
			t.Fatalf("%v does not stand whole, or once, in %q", one, stream)
		}
		at++
	}
	for i := 0; i < certain && i < len(done); i++ {
		if done[i] != list[i] {
			t.Errorf("carried out %v in place of %v in %q", done[i], list[i], stream)
		}
	}
	return certain
}

// randomRequest writes a request that is mostly sound.
func randomRequest(rnd *rand.Rand, id int) string {
	method := []string{"GET", "PUT", "POST", "DELETE", "HEAD", "PATCH"}[rnd.Intn(6)]
	path := []string{"/a", "/b/c", "/c", "/d", "/e?f=g", "/early"}[rnd.Intn(6)]
	body := strings.Repeat("GET / HTTP/1.1\r\nHost: b\r\n\r\n", rnd.Intn(6)/2)
	name := fmt.Sprint(id)
	switch rnd.Intn(8) {
	case 0:
		return request(method, path, name, "", "")
	case 1:
		return request(method, path, name, chunked, fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", max(1, len(body)), body+strings.Repeat("x", max(0, 1-len(body)))))
	case 2:
		return request(method, path, name, withLength(len(body)+rnd.Intn(5)-2), body)
	case 3:
		return request(method, path, name, withLength(len(body))+[]string{"Connection: close\r\n", chunked, "Expect: 100-continue\r\n", withLength(1)}[rnd.Intn(4)], body)
	}
	return request(method, path, name, withLength(len(body)), body)
}

// randomStream is a row of requests, often with some of its bytes changed, left
// out, doubled or cut off.
func randomStream(rnd *rand.Rand) []byte {
	var stream []byte
	for i := rnd.Intn(4); i >= 0; i-- {
		stream = append(stream, randomRequest(rnd, rnd.Intn(1000))...)
	}
	for i := max(0, rnd.Intn(4)-1); i > 0 && len(stream) > 1; i-- {
		at := rnd.Intn(len(stream))
		end := min(len(stream), at+1+rnd.Intn(8))
		switch rnd.Intn(4) {
		case 0:
			stream[at] = byte(rnd.Intn(256))
		case 1:
			stream = slices.Delete(stream, at, end)
		case 2:
			stream = slices.Insert(stream, at, slices.Clone(stream[at:end])...)
		case 3:
			stream = stream[:at]
		}
	}
	return stream
}

const (
	randomStreams    = 2000
	randomStreamTime = 3 * time.Second
)

// TestRandomStreams: of whatever bytes come, the requests that stand whole in
// them are carried out once, in their order, each is answered with its own
// answer, and nothing else is carried out.
func TestRandomStreams(t *testing.T) {
	e, addr := bareEcho(t)
	rnd := rand.New(rand.NewSource(1))
	begun, i, certain := time.Now(), 0, 0
	for ; i < randomStreams && time.Since(begun) < randomStreamTime && !t.Failed(); i++ {
		certain += checkStream(t, e, addr, randomStream(rnd), rnd.Intn(40))
	}
	if certain < i/2 {
		t.Errorf("only %d requests of %d streams had to be carried out", certain, i)
	}
	t.Logf("%d streams, %d requests that had to be carried out", i, certain)
}

// FuzzServer is the same for bytes that the fuzzer chooses.
func FuzzServer(f *testing.F) {
	hidden := request("PUT", "/hidden", "9", withLength(0), "")
	f.Add([]byte(request("PUT", "/a", "1", withLength(3), "abc")+request("GET", "/b", "2", "", "")), 0)
	f.Add([]byte(request("POST", "/a", "1", chunked, "3\r\nabc\r\n0\r\n\r\n")+hidden), 1)
	f.Add([]byte(request("PUT", "/early", "1", withLength(len(hidden)), hidden)+hidden), 5)
	f.Add([]byte(request("PUT", "/a", "1", withLength(2)+chunked, "0\r\n\r\n")+hidden), 3)
	f.Add([]byte(request("PUT", "/a", "1", "Expect: 100-continue\r\n"+withLength(3), "abcd")+hidden), 2)
	f.Add([]byte(request("POST", "/a", "1", withLength(1), "a\r\n")+hidden), 0)
	f.Add([]byte("OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n"+hidden), 0)
	f.Add([]byte("HEAD /a HTTP/1.0\r\nConnection: keep-alive\r\n\r\n"+hidden[:len(hidden)-1]), 0)
	e, addr := bareEcho(f)
	f.Fuzz(func(t *testing.T, stream []byte, piece int) {
		if len(stream) > 1<<14 {
			return
		}
		checkStream(t, e, addr, stream, max(0, piece)%64)
	})
}
