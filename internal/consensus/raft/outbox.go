package raft

import (
	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
)

// outbox collects the results of a member's inputs until TakeOutput returns them, and
// tracks which writes are on disk. Messages that depend on a write are held in pending
// until that write is synced.
type outbox struct {
	output Output
	// write accumulates the contents of the next write.
	write Write
	// lastSeq is the sequence number of the last write issued, syncedSeq that of the last
	// write on disk, and hardStateSeq that of the last write that contains a hard state.
	lastSeq      uint64
	syncedSeq    uint64
	hardStateSeq uint64
	// syncedIndex is the index of the last entry on disk.
	syncedIndex identifier.Index
	// inFlight holds the writes issued but not yet synced, oldest first.
	inFlight []inFlightWrite
	pending  []pendingMessage
}

// inFlightWrite is a write that was issued but is not yet synced. Once it is synced, the
// log is on disk up to lastIndex.
type inFlightWrite struct {
	seq       uint64
	lastIndex identifier.Index
	issuedAt  clock.Monotonic
}

// pendingMessage is a message that may be sent once write seq is synced. If ownVote is
// set, it is not sent: it stands for the candidate's vote for itself in the message's
// term, which counts only once it is on disk.
type pendingMessage struct {
	seq     uint64
	message Message
	ownVote bool
}

// mergeAcknowledgement replaces a pending acknowledgement by a later one to the same
// leader that waits for the same write, so that heartbeat acknowledgements do not
// accumulate while the disk is stalled. It reports whether the two were merged.
func (p *pendingMessage) mergeAcknowledgement(seq uint64, m Message) bool {
	earlier := p.message
	if p.ownVote || !isAcknowledgement(earlier) || !isAcknowledgement(m) {
		return false
	}
	if p.seq != seq || earlier.To != m.To || earlier.Term != m.Term {
		return false
	}
	m.Index = max(m.Index, earlier.Index)
	m.SentAt = max(m.SentAt, earlier.SentAt)
	p.message = m
	return true
}

func isAcknowledgement(m Message) bool { return m.Kind == AppendReply && !m.Reject }

func (o *outbox) setHardState(h HardState) {
	o.write.HardState = &h
	o.hardStateSeq = o.lastSeq + 1
}

// hardStateSynced reports whether the current term and vote are on disk.
func (o *outbox) hardStateSynced() bool { return o.hardStateSeq <= o.syncedSeq }

func (o *outbox) addEntry(e Entry) { o.write.Entries = append(o.write.Entries, e) }

// truncate discards the entries from an index on, which are no longer in the log.
func (o *outbox) truncate(from identifier.Index) {
	kept := o.write.Entries[:0]
	for _, e := range o.write.Entries {
		if e.Index < from {
			kept = append(kept, e)
		}
	}
	o.write.Entries = kept
	o.syncedIndex = min(o.syncedIndex, from-1)
	for i := range o.inFlight {
		o.inFlight[i].lastIndex = min(o.inFlight[i].lastIndex, from-1)
	}
}

// installSnapshot replaces the log, including entries that are not yet written, by a
// leader's snapshot.
func (o *outbox) installSnapshot(s *Snapshot) {
	o.syncedIndex = 0
	for i := range o.inFlight {
		o.inFlight[i].lastIndex = 0
	}
	o.write.Entries = nil
	o.write.Snapshot = s
	o.output.Committed = nil
	o.output.InstalledSnapshot = s
}

// deferUntilSynced holds a message until all writes so far are on disk.
func (o *outbox) deferUntilSynced(m Message) {
	seq := o.lastSeq
	if !o.write.empty() {
		seq++
	}
	count := len(o.pending)
	if count == 0 || !o.pending[count-1].mergeAcknowledgement(seq, m) {
		o.pending = append(o.pending, pendingMessage{seq: seq, message: m})
	}
}

// deferOwnVote holds a candidate's vote for itself until the next write, which contains
// it, is on disk.
func (o *outbox) deferOwnVote(term identifier.Term) {
	vote := pendingMessage{seq: o.lastSeq + 1, ownVote: true, message: Message{Term: term}}
	o.pending = append(o.pending, vote)
}

// takeReady removes and returns the pending messages whose writes are synced.
func (o *outbox) takeReady() []pendingMessage {
	var ready []pendingMessage
	waiting := o.pending[:0]
	for _, p := range o.pending {
		if p.seq > o.syncedSeq {
			waiting = append(waiting, p)
		} else {
			ready = append(ready, p)
		}
	}
	o.pending = waiting
	return ready
}

// takeWrite issues the accumulated write by moving it into the output. lastIndex is the
// index of the last entry in the log.
func (o *outbox) takeWrite(lastIndex identifier.Index, now clock.Monotonic) {
	if o.write.empty() {
		return
	}
	o.lastSeq++
	write := o.write
	write.Seq = o.lastSeq
	o.write = Write{}
	o.output.Write = &write
	o.inFlight = append(o.inFlight, inFlightWrite{write.Seq, lastIndex, now})
}

// markSynced records that all writes up to seq are on disk. lastIndex is the index of
// the last entry in the log.
func (o *outbox) markSynced(seq uint64, lastIndex identifier.Index) {
	o.syncedSeq = max(o.syncedSeq, seq)
	for len(o.inFlight) > 0 && o.inFlight[0].seq <= seq {
		synced := o.inFlight[0]
		o.inFlight = o.inFlight[1:]
		o.syncedIndex = max(o.syncedIndex, min(synced.lastIndex, lastIndex))
	}
}

// oldestWrite returns when the oldest write that is not yet synced was issued; ok is
// false if there is none.
func (o *outbox) oldestWrite() (issuedAt clock.Monotonic, ok bool) {
	if len(o.inFlight) == 0 {
		return 0, false
	}
	return o.inFlight[0].issuedAt, true
}

func (o *outbox) takeOutput() Output {
	output := o.output
	o.output = Output{}
	return output
}
