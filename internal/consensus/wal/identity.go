package wal

import (
	"encoding/json"

	"github.com/go-faster/errors"

	"orchidward/internal/api/identifier"
)

const (
	identityFileName = "identity"
	// minFiles and minFileBytes are the lower bounds of a valid layout in an identity file.
	minFiles     = 2
	minFileBytes = 4096
)

// Layout is the number of preallocated files that hold the log, and the size of
// each in bytes.
type Layout struct {
	Files int
	Bytes int
}

// identityFile is the content of the identity file: the member that owns the data folder
// and the layout of its log. It is the first file written to a folder.
type identityFile struct {
	Node  string `json:"who"`
	Files int    `json:"files"`
	Bytes int    `json:"bytes"`
}

// Identity returns the member that owns a data folder and the layout of its log. If the
// folder has no identity yet, Identity writes the given one and returns it.
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
		panic("wal: cannot encode identity: " + err.Error())
	}
	return data
}
