package devcluster_test

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// Ports of processes, below the kernel's range for outgoing connections: a process may be
// started long after its port was chosen, and the port must still be free.
const (
	firstPort = 10000
	portCount = 22000
)

// usedAddrs are the addresses assigned to processes so far, by all scripts.
var usedAddrs = struct {
	sync.Mutex
	used map[string]bool
}{used: map[string]bool{}}

// freeAddr returns an unused address on which no process listens.
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
