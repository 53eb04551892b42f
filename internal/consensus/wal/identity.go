package wal

import (
	"encoding/json"

	"github.com/go-faster/errors"

	"orchidward/internal/api/identifier"
)

const (
	identityFileName = "identity"
	// minFiles and minFileBytes bound the layout that an identity file may hold.
	minFiles     = 2
	minFileBytes = 4096
)

// Layout is the number of preallocated files that hold the log, and the size of
// each in bytes.
type Layout struct {
	Files int
	Bytes int
}

// identityFile holds the member that a data folder belongs to and the layout of its
// log. It is the first file to be written into a folder.
type identityFile struct {
	Node  string `json:"who"`
	Files int    `json:"files"`
	Bytes int    `json:"bytes"`
}

// Identity reads which member a data folder belongs to and the layout of its log.
// A folder without an identity is given the ones passed in.
func Identity(d Disk, offered identifier.Node, layout Layout) (identifier.Node, Layout, error) {
	data, err := d.Read(identityFileName)
	if err != nil {
		return 0, layout, errors.Wrap(err, "read identity")
	}
	if data == nil {
		if err = d.Replace(identityFileName, encodeIdentity(offered, layout)); err != nil {
			return 0, layout, errors.Wrap(err, "write identity")
		}
		return offered, layout, nil
	}
	var identity identityFile
	if err = json.Unmarshal(data, &identity); err != nil {
		return 0, layout, errors.Wrapf(ErrDamaged, "identity file: %v", err)
	}
	node, ok := identifier.ParseNode(identity.Node)
	if !ok || identity.Files < minFiles || identity.Bytes < minFileBytes {
		return 0, layout, errors.Wrap(ErrDamaged, "identity file")
	}
	return node, Layout{identity.Files, identity.Bytes}, nil
}

func encodeIdentity(node identifier.Node, layout Layout) []byte {
	data, err := json.Marshal(identityFile{node.String(), layout.Files, layout.Bytes})
	if err != nil {
		panic("wal: an identity cannot be encoded: " + err.Error())
	}
	return data
}
