// Package frame is generated from frame.capnp by capnpc-go of the Cap'n Proto
// release named in go.mod; run go generate here after changing the schema.
package frame

//go:generate sh -c "capnp compile -I $(go list -m -f '{{.Dir}}' capnproto.org/go/capnp/v3)/std -ogo frame.capnp"
