package devcluster_test

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// Ports of processes, below the range that the kernel gives to outgoing connections: a
// process may be started on its port much later.
const (
	firstPort = 10000
	portCount = 22000
)

// usedAddrs are the addresses given to processes so far, in any script.
var usedAddrs = struct {
	sync.Mutex
	used map[string]bool
}{used: map[string]bool{}}

// freeAddr finds an address on which nobody listens.
func freeAddr() string {
	usedAddrs.Lock()
	defer usedAddrs.Unlock()
	for {
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount))
		if usedAddrs.used[addr] {
			continue
		}
		usedAddrs.used[addr] = true
		if listener, err := net.Listen("tcp", addr); err == nil {
			listener.Close()
			return addr
		}
	}
}
