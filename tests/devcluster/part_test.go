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

// part stops a gate in order while a request is surely in hand: one whose body
// goes out only when the gate, told to stop, listens no longer. Its answer must
// come whole.
func part(ts *testscript.TestScript, _ bool, args []string) {
	f, name := ts.Value("fleet").(*fleet), args[0]
	addr := f.port(name + "-http")
	conn, err := net.Dial("tcp", addr)
	ts.Check(err)
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(60 * time.Second))
	body := `{"pending":"default"}`
	_, err = fmt.Fprintf(conn, "PUT /v1/jobs/gilde/part HTTP/1.1\r\nHost: %s\r\nExpect: 100-continue\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", addr, len(body))
	ts.Check(err)
	in := bufio.NewReader(conn)
	res, err := http.ReadResponse(in, nil)
	ts.Check(err)
	if res.StatusCode != 100 {
		ts.Fatalf("%s did not take the request in hand: %d", name, res.StatusCode)
	}
	ts.Check(f.procs[name].Process.Signal(syscall.SIGTERM))
	deaf(ts, addr)
	_, err = conn.Write([]byte(body))
	if err == nil {
		res, err = http.ReadResponse(in, nil)
	}
	if err != nil {
		ts.Fatalf("%s: the answer in hand broke off: %v", name, err)
	}
	text, err := io.ReadAll(res.Body)
	if err != nil || !json.Valid(text) || !res.Close {
		ts.Fatalf("%s: the answer in hand broke off: %d %q, closes: %v, %v", name, res.StatusCode, text, res.Close, err)
	}
	f.end(name, syscall.SIGCONT)
}

// deaf waits until nobody listens on the address.
func deaf(ts *testscript.TestScript, addr string) {
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end); {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			return
		}
		conn.Close()
	}
	ts.Fatalf("%s still listens", addr)
}
