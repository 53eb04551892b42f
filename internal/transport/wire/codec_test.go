package wire

import (
	"bytes"
	"reflect"
	"testing"

	"orchidward/internal/api/identifier"
	"orchidward/internal/consensus/raft"
)

// firstVersionMessages returns messages that use only fields of the first version.
func firstVersionMessages() []Message {
	members := []raft.Member{
		{ID: 7, Addr: "127.0.0.1:1", Domain: "north", Voter: true},
		{ID: 9, Addr: "127.0.0.1:2", Domain: "east"},
	}
	return []Message{
		{Request: &Request{
			ID:     3,
			Method: "PUT",
			Path:   "/v1/jobs/a/b",
			Query:  "x=1",
			Body:   []byte("{}"),
			Epoch:  5,
			Budget: 900,
			Hops:   1,
		}},
		{Response: &Response{
			ID:         3,
			Status:     201,
			Body:       []byte("ok"),
			RetryAfter: 5,
			NotLeader:  true,
			Stale:      true,
		}},
		{Announcement: &Announcement{
			WantReply: true,
			Role:      RoleGateway,
			Node:      4,
			Addr:      "a",
			Domain:    "d",
			HTTP:      "h",
			Founded:   true,
			LeaderID:  7,
			Members:   members,
			Founders:  members[:1],
			Gateways:  []string{"g1", "g2"},
		}},
		{Raft: &raft.Message{
			Kind:           raft.AppendEntries,
			From:           1,
			To:             2,
			Term:           3,
			Index:          4,
			LogTerm:        5,
			Commit:         6,
			Reject:         true,
			LeaderTransfer: true,
			NextHint:       7,
			SentAt:         -8,
			Wall:           9,
			FirstKnownTerm: 10,
			ClusterTime:    11,
			Entries:        []raft.Entry{{Index: 5, Term: 3, Kind: raft.EntryCommand, Data: []byte("x")}},
		}},
		{Raft: &raft.Message{
			Kind:     raft.InstallSnapshot,
			From:     1,
			To:       2,
			Snapshot: &raft.Snapshot{Index: 4, Term: 5, Members: members, Data: []byte("view")},
			Offset:   3,
			Total:    9,
		}},
	}
}

// laterMessages returns messages with fields that the first version did not have.
func laterMessages() []Message {
	reading := LeaderTime{Term: 9, At: -4}
	return []Message{
		{Request: &Request{
			ID:            3,
			Method:        "PUT",
			Path:          "/v1/closings/a",
			Body:          []byte("{}"),
			Budget:        900,
			HasLeaderTime: true,
			LeaderTime:    reading,
		}},
		{Response: &Response{ID: 3, Status: 503, Body: []byte("{}"), Expired: true, LeaderTime: reading}},
		{Announcement: &Announcement{Role: RoleServer, Node: 4, LeaderID: 4, LeaderTime: reading}},
		{Raft: &raft.Message{Kind: raft.AppendReply, From: 2, To: 1, Term: 3, Index: 4, Leaving: true}},
	}
}

// roundTrip encodes a message and decodes the result.
func roundTrip(t *testing.T, m Message) Message {
	t.Helper()
	var buf bytes.Buffer
	if err := NewEncoder(&buf).Encode(m); err != nil {
		t.Fatal(err)
	}
	decoded, err := NewDecoder(&buf).Decode()
	if err != nil {
		t.Fatal(err)
	}
	return decoded
}

// TestRoundTrip checks that every message is decoded as it was encoded.
func TestRoundTrip(t *testing.T) {
	for _, m := range append(firstVersionMessages(), laterMessages()...) {
		if decoded := roundTrip(t, m); !reflect.DeepEqual(m, decoded) {
			t.Errorf("encoded %+v, decoded %+v", m, decoded)
		}
	}
}

// TestLargeAppend checks an append with so many entries that it does not fit in the encoder's
// first segment. A multi-segment arena once failed to link the additional segment.
func TestLargeAppend(t *testing.T) {
	m := Message{Raft: &raft.Message{Kind: raft.AppendEntries, From: 1, To: 2}}
	for i := 0; i < 2000; i++ {
		m.Raft.Entries = append(m.Raft.Entries, raft.Entry{
			Index: identifier.Index(i + 1),
			Term:  1,
			Kind:  raft.EntryCommand,
			Data:  bytes.Repeat([]byte{byte(i)}, i+1),
		})
	}
	if decoded := roundTrip(t, m); !reflect.DeepEqual(m, decoded) {
		t.Error("a large append is not decoded as it was encoded")
	}
}

// FuzzFrame checks that decoding arbitrary input neither panics nor returns an empty message.
func FuzzFrame(f *testing.F) {
	for _, m := range firstVersionMessages() {
		var buf bytes.Buffer
		if err := NewEncoder(&buf).Encode(m); err != nil {
			f.Fatal(err)
		}
		f.Add(buf.Bytes())
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := NewDecoder(bytes.NewReader(data)).Decode()
		if err != nil {
			return
		}
		if m.Raft == nil && m.Request == nil && m.Response == nil && m.Announcement == nil {
			t.Error("an empty message was decoded")
		}
	})
}
