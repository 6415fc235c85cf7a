package ledger

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"cactusline.dev/cactusline/internal/version/cmdpb"
	"cactusline.dev/cactusline/internal/version/ident"
)

// Snapshot encodes the ledger's state. Ledgers that applied the same steps
// return the same bytes.
func (l *Ledger) Snapshot() ([]byte, error) {
	out := &cmdpb.LedgerSnapshot{}
	for i, s := range l.shards {
		s.mu.Lock()
		s.save(uint32(i), out)
		s.mu.Unlock()
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(out)
	if err != nil {
		return nil, fmt.Errorf("encode ledger: %w", err)
	}
	return data, nil
}

// save appends the shard's state to a snapshot.
func (s *shard) save(shardIndex uint32, out *cmdpb.LedgerSnapshot) {
	// Places holds one sequence number per shard.
	out.Places = append(out.Places, s.lastSequence)
	first := len(out.GetEntries())
	for _, e := range s.entries {
		out.Entries = append(out.Entries, encodeEntry(e))
	}
	slices.SortFunc(out.GetEntries()[first:], func(a, b *cmdpb.LedgerEntry) int {
		return bytes.Compare(a.GetKey(), b.GetKey())
	})
	for _, seg := range s.archive.segments {
		out.Segments = append(out.Segments, encodeSegment(shardIndex, seg))
	}
}

// Restore replaces the ledger's state with a snapshot of a ledger that has the
// same configuration. On error the state is unchanged.
func (l *Ledger) Restore(data []byte) error {
	var in cmdpb.LedgerSnapshot
	if err := proto.Unmarshal(data, &in); err != nil {
		return fmt.Errorf("decode ledger: %w", err)
	}
	// Places holds one sequence number per shard.
	if len(in.GetPlaces()) != len(l.shards) {
		return fmt.Errorf("ledger snapshot has %d shards, want %d", len(in.GetPlaces()), len(l.shards))
	}
	fresh := New(l.cfg)
	if err := fresh.load(&in); err != nil {
		return err
	}
	for i, s := range l.shards {
		s.replaceState(fresh.shards[i])
	}
	return nil
}

// replaceState replaces the shard's state with that of other.
func (s *shard) replaceState(other *shard) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries, s.running, s.ended = other.entries, other.running, other.ended
	s.endedBytes, s.lastSequence, s.archive = other.endedBytes, other.lastSequence, other.archive
}

// load fills an empty ledger from a snapshot.
func (l *Ledger) load(in *cmdpb.LedgerSnapshot) error {
	for i, lastSequence := range in.GetPlaces() {
		l.shards[i].lastSequence = lastSequence
	}
	entries := make([]*entry, 0, len(in.GetEntries()))
	for _, encoded := range in.GetEntries() {
		e, err := decodeEntry(encoded)
		if err != nil {
			return err
		}
		entries = append(entries, e)
	}
	slices.SortFunc(entries, func(a, b *entry) int { return cmp.Compare(a.sequence, b.sequence) })
	for _, e := range entries {
		l.shardOf(e.key).restoreEntry(e)
	}
	for _, encoded := range in.GetSegments() {
		if int(encoded.GetShard()) >= len(l.shards) {
			return fmt.Errorf("ledger snapshot has a segment of unknown shard %d", encoded.GetShard())
		}
		seg, err := decodeSegment(encoded)
		if err != nil {
			return err
		}
		a := &l.shards[encoded.GetShard()].archive
		a.segments = append(a.segments, seg)
	}
	return nil
}

// restoreEntry adds an entry of a snapshot to the shard. Entries must be added in
// the order of their sequence numbers.
func (s *shard) restoreEntry(e *entry) {
	s.entries[e.key] = e
	item := queueItem{entry: e, sequence: e.sequence}
	if e.state == StateRunning {
		s.running.push(item)
		return
	}
	s.ended.push(item)
	s.endedBytes += e.size()
}

func encodeEntry(e *entry) *cmdpb.LedgerEntry {
	out := &cmdpb.LedgerEntry{
		Key: e.key[:], State: uint32(e.state), Fingerprint: uint64(e.fingerprint),
		Attempt: string(e.attempt), Target: string(e.target), Incarnation: uint64(e.incarnation),
		Dispatched: e.dispatched, Time: e.changedAt, Place: e.sequence,
		Voided: string(e.replacedAttempt),
	}
	if e.state == StateSettled {
		out.Answer = e.answer
	}
	return out
}

func decodeEntry(in *cmdpb.LedgerEntry) (*entry, error) {
	e := &entry{
		state: State(in.GetState()), fingerprint: ident.Fingerprint(in.GetFingerprint()),
		attempt: ident.AttemptID(in.GetAttempt()), target: ident.TargetName(in.GetTarget()),
		incarnation: ident.Incarnation(in.GetIncarnation()), dispatched: in.GetDispatched(),
		changedAt: in.GetTime(), sequence: in.GetPlace(), answer: in.GetAnswer(),
		replacedAttempt: ident.AttemptID(in.GetVoided()),
	}
	if copy(e.key[:], in.GetKey()) != len(e.key) {
		return nil, fmt.Errorf("ledger key has %d bytes, want 16", len(in.GetKey()))
	}
	return e, nil
}

func encodeSegment(shard uint32, seg *segment) *cmdpb.LedgerSegment {
	out := &cmdpb.LedgerSegment{Shard: shard, Span: seg.spanIndex}
	out.Keys = make([]byte, 0, len(seg.keys)*len(Key{}))
	for _, key := range seg.keys {
		out.Keys = append(out.Keys, key[:]...)
	}
	out.States = make([]byte, 0, len(seg.states))
	for _, state := range seg.states {
		out.States = append(out.States, byte(state))
	}
	return out
}

func decodeSegment(in *cmdpb.LedgerSegment) (*segment, error) {
	const width = len(Key{})
	if len(in.GetKeys()) != len(in.GetStates())*width {
		return nil, fmt.Errorf("ledger segment has %d bytes of keys for %d states", len(in.GetKeys()), len(in.GetStates()))
	}
	seg := &segment{spanIndex: in.GetSpan()}
	seg.keys = make([]Key, len(in.GetStates()))
	seg.states = make([]State, len(in.GetStates()))
	for i := range seg.keys {
		copy(seg.keys[i][:], in.GetKeys()[i*width:])
		seg.states[i] = State(in.GetStates()[i])
	}
	return seg, nil
}
