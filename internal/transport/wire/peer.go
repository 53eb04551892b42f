package wire

import "strconv"

// Peer is the other end of a connection: an address to dial, a connection that was
// accepted, or a request of the process itself.
type Peer string

const (
	acceptedPrefix = '#'
	localPrefix    = '@'
)

// AcceptedPeer is the n-th connection that was accepted. It cannot be dialled.
func AcceptedPeer(n uint64) Peer { return numbered(acceptedPrefix, n) }

// LocalPeer is the n-th request that was made at this process.
func LocalPeer(n uint64) Peer { return numbered(localPrefix, n) }

func numbered(prefix byte, n uint64) Peer {
	return Peer(strconv.AppendUint([]byte{prefix}, n, 10))
}

// Accepted reports whether the peer is a connection that was accepted.
func (p Peer) Accepted() bool { return p != "" && p[0] == acceptedPrefix }

// Local reports whether the peer is a request that was made at this process.
func (p Peer) Local() bool { return p != "" && p[0] == localPrefix }
