package httpserver

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"
)

// maxPlainRequest is the maximum size of a plain request, in bytes.
const maxPlainRequest = 4096

var (
	plainHost = regexp.MustCompile(`^[a-z.]+$`)
	printable = regexp.MustCompile(`^[!-~]([ -~]*[!-~])?$`)
)

// plain reports whether a request is unambiguously valid, so that the server must execute it.
func plain(r *http.Request, raw []byte, body []byte) bool {
	head, _, _ := bytes.Cut(raw, []byte("\r\n\r\n"))
	if r.ProtoMajor != 1 || r.ProtoMinor != 1 || r.Close || !plainHost.MatchString(r.Host) {
		return false
	}
	if len(raw) > maxPlainRequest || len(body) > maxEchoBody || !slices.Contains(echoMethods, r.Method) {
		return false
	}
	if !strings.HasPrefix(r.RequestURI, "/") || r.URL.Path == "/early" || bytes.Count(bytes.ToLower(head), []byte("host")) != 1 {
		return false
	}
	for name, values := range r.Header {
		if name != requestIDHeader && name != "Content-Length" || len(values) != 1 || !printable.MatchString(values[0]) {
			return false
		}
	}
	return len(r.TransferEncoding) == 0 || r.ContentLength < 0
}

// parseComplete parses the complete requests of a stream, up to the first that is invalid or
// incomplete. The first plainCount of them are plain.
func parseComplete(stream []byte) (list []executed, plainCount int) {
	source := bytes.NewReader(stream)
	in := bufio.NewReader(source)
	ambiguous := false
	for {
		if n := len(list); n > 0 && list[n-1].method == http.MethodPost {
			skipLineEnds(in)
		}
		begin := len(stream) - source.Len() - in.Buffered()
		r, err := http.ReadRequest(in)
		if err != nil {
			return list, plainCount
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return list, plainCount
		}
		list = append(list, executed{r.Method, r.URL.Path, r.Header.Get(requestIDHeader), string(body)})
		raw := stream[begin : len(stream)-source.Len()-in.Buffered()]
		ambiguous = ambiguous || !plain(r, raw, body)
		if !ambiguous {
			plainCount++
		}
	}
}

// skipLineEnds skips the line breaks that old clients send after the body of a POST.
func skipLineEnds(in *bufio.Reader) {
	ends, _ := in.Peek(4)
	for _, b := range ends {
		if b != '\r' && b != '\n' {
			return
		}
		_, _ = in.Discard(1)
	}
}

// checkStream sends a stream and compares the requests that were executed with those in the
// stream. It returns how many of the first requests had to be executed.
func checkStream(t testing.TB, e *echo, addr string, stream []byte, piece int) int {
	t.Helper()
	answers, local, clean := exchange(t, addr, stream, piece)
	calls := e.takeCalls(local)
	checkResponses(t, answers, calls, clean)
	done := executedCalls(calls)
	list, plainCount := parseComplete(stream)
	if len(done) < plainCount {
		t.Errorf("%d requests are complete in %q, only %v were carried out", plainCount, stream, done)
	}
	checkInOrder(t, done, list, stream)
	for i := 0; i < plainCount && i < len(done); i++ {
		if done[i] != list[i] {
			t.Errorf("carried out %v instead of %v in %q", done[i], list[i], stream)
		}
	}
	return plainCount
}

// checkInOrder checks that the executed requests are requests of the stream, in order and each
// at most once.
func checkInOrder(t testing.TB, done, list []executed, stream []byte) {
	t.Helper()
	next := 0
	for _, call := range done {
		for next < len(list) && list[next] != call {
			next++
		}
		if next == len(list) {
			t.Fatalf("carried out %v, which is not among the remaining complete requests of %q", call, stream)
		}
		next++
	}
}

// randomRequest returns the raw text of a request that is usually valid.
func randomRequest(random *rand.Rand, id int) string {
	method := []string{"GET", "PUT", "POST", "DELETE", "HEAD", "PATCH"}[random.Intn(6)]
	path := []string{"/a", "/b/c", "/c", "/d", "/e?f=g", "/early"}[random.Intn(6)]
	body := strings.Repeat("GET / HTTP/1.1\r\nHost: b\r\n\r\n", random.Intn(6)/2)
	name := fmt.Sprint(id)
	switch random.Intn(8) {
	case 0:
		return rawRequest(method, path, name, "", "")
	case 1:
		if body == "" {
			body = "x"
		}
		return rawRequest(method, path, name, chunked, oneChunk(body))
	case 2:
		return rawRequest(method, path, name, withLength(len(body)+random.Intn(5)-2), body)
	case 3:
		fields := []string{"Connection: close\r\n", chunked, "Expect: 100-continue\r\n", withLength(1)}
		field := fields[random.Intn(len(fields))]
		return rawRequest(method, path, name, withLength(len(body))+field, body)
	}
	return rawRequest(method, path, name, withLength(len(body)), body)
}

// randomStream returns a sequence of requests, often with some bytes changed, removed,
// duplicated or truncated.
func randomStream(random *rand.Rand) []byte {
	var stream []byte
	for i := random.Intn(4); i >= 0; i-- {
		stream = append(stream, randomRequest(random, random.Intn(1000))...)
	}
	for i := max(0, random.Intn(4)-1); i > 0 && len(stream) > 1; i-- {
		at := random.Intn(len(stream))
		end := min(len(stream), at+1+random.Intn(8))
		switch random.Intn(4) {
		case 0:
			stream[at] = byte(random.Intn(256))
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

// TestRandomStreams checks that for arbitrary input, the complete requests in it are executed
// once and in order, each is answered with its own response, and nothing else is executed.
func TestRandomStreams(t *testing.T) {
	e, addr := newHandlerEcho(t)
	random := rand.New(rand.NewSource(1))
	begin := time.Now()
	streams := 0
	plainCount := 0
	for streams < randomStreams && time.Since(begin) < randomStreamTime && !t.Failed() {
		plainCount += checkStream(t, e, addr, randomStream(random), random.Intn(40))
		streams++
	}
	if plainCount < streams/2 {
		t.Errorf("only %d requests of %d streams had to be carried out", plainCount, streams)
	}
	t.Logf("%d streams, %d requests that had to be carried out", streams, plainCount)
}

// FuzzServer checks the properties of TestRandomStreams on streams chosen by the fuzzer.
func FuzzServer(f *testing.F) {
	hidden := rawRequest("PUT", "/hidden", "9", withLength(0), "")
	f.Add([]byte(rawRequest("PUT", "/a", "1", withLength(3), "abc")+rawRequest("GET", "/b", "2", "", "")), 0)
	f.Add([]byte(rawRequest("POST", "/a", "1", chunked, "3\r\nabc\r\n0\r\n\r\n")+hidden), 1)
	f.Add([]byte(rawRequest("PUT", "/early", "1", withLength(len(hidden)), hidden)+hidden), 5)
	f.Add([]byte(rawRequest("PUT", "/a", "1", withLength(2)+chunked, "0\r\n\r\n")+hidden), 3)
	f.Add([]byte(rawRequest("PUT", "/a", "1", "Expect: 100-continue\r\n"+withLength(3), "abcd")+hidden), 2)
	f.Add([]byte(rawRequest("POST", "/a", "1", withLength(1), "a\r\n")+hidden), 0)
	f.Add([]byte("OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n"+hidden), 0)
	f.Add([]byte("HEAD /a HTTP/1.0\r\nConnection: keep-alive\r\n\r\n"+hidden[:len(hidden)-1]), 0)
	e, addr := newHandlerEcho(f)
	f.Fuzz(func(t *testing.T, stream []byte, piece int) {
		if len(stream) > 1<<14 {
			return
		}
		checkStream(t, e, addr, stream, max(0, piece)%64)
	})
}
