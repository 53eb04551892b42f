package wire

import "strconv"

// Peer identifies the remote end of a message: an address to dial, an accepted connection, or
// a request made in this process.
type Peer string

const (
	acceptedPrefix = '#'
	localPrefix    = '@'
)

// AcceptedPeer returns the peer for the n-th accepted connection. It cannot be dialled.
func AcceptedPeer(n uint64) Peer { return numbered(acceptedPrefix, n) }

// LocalPeer returns the peer for the n-th request made in this process.
func LocalPeer(n uint64) Peer { return numbered(localPrefix, n) }

func numbered(prefix byte, n uint64) Peer {
	return Peer(strconv.AppendUint([]byte{prefix}, n, 10))
}

// Accepted reports whether the peer is an accepted connection.
func (p Peer) Accepted() bool { return p != "" && p[0] == acceptedPrefix }

// Local reports whether the peer is a request made in this process.
func (p Peer) Local() bool { return p != "" && p[0] == localPrefix }
