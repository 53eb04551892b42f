package devcluster_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// inflightLimit bounds the time to stop a gateway with a request in flight.
const inflightLimit = 60 * time.Second

// stopWithRequestInFlight stops a gateway gracefully while a request is in flight. The body
// of the request is sent only after the gateway has closed its listener; the response must
// be complete.
func stopWithRequestInFlight(ts *testscript.TestScript, _ bool, args []string) {
	c, name := clusterOf(ts), args[0]
	addr := c.httpAddr(name)
	conn, err := net.Dial("tcp", addr)
	ts.Check(err)
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(inflightLimit))
	reader := bufio.NewReader(conn)
	body := `{"pending":"default"}`
	sendHeader(ts, conn, reader, len(body))
	ts.Check(c.processes[name].Process.Signal(syscall.SIGTERM))
	awaitNoListener(ts, addr)
	if _, err = io.WriteString(conn, body); err != nil {
		ts.Fatalf("%s: the response in flight broke off: %v", name, err)
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		ts.Fatalf("%s: the response in flight broke off: %v", name, err)
	}
	text, err := io.ReadAll(response.Body)
	if err != nil || !json.Valid(text) || !response.Close {
		ts.Fatalf("%s: the response in flight broke off: %d %q, closes: %v, %v", name, response.StatusCode, text, response.Close, err)
	}
	c.end(name, syscall.SIGCONT)
}

// sendHeader sends the header of a request, and waits until the gateway asks for the body.
func sendHeader(ts *testscript.TestScript, conn net.Conn, reader *bufio.Reader, bodyBytes int) {
	_, err := fmt.Fprintf(conn, "PUT /v1/jobs/gilde/part HTTP/1.1\r\n"+
		"Host: %s\r\n"+
		"Expect: 100-continue\r\n"+
		"Content-Type: application/json\r\n"+
		"Content-Length: %d\r\n\r\n", conn.RemoteAddr(), bodyBytes)
	ts.Check(err)
	response, err := http.ReadResponse(reader, nil)
	ts.Check(err)
	if response.StatusCode != http.StatusContinue {
		ts.Fatalf("%s did not ask for the body: %d", conn.RemoteAddr(), response.StatusCode)
	}
}

// awaitNoListener waits until no process listens on an address.
func awaitNoListener(ts *testscript.TestScript, addr string) {
	for end := time.Now().Add(inflightLimit); time.Now().Before(end); {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			return
		}
		conn.Close()
	}
	ts.Fatalf("%s still listens", addr)
}
