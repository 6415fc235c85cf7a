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

// Snapshot returns the ledger's state, the same bytes for the same steps.
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

// save adds one shard to a snapshot.
func (s *shard) save(number uint32, out *cmdpb.LedgerSnapshot) {
	out.Places = append(out.Places, s.places)
	first := len(out.GetEntries())
	for _, e := range s.live {
		out.Entries = append(out.Entries, encodeEntry(e))
	}
	slices.SortFunc(out.GetEntries()[first:], func(a, b *cmdpb.LedgerEntry) int {
		return bytes.Compare(a.GetKey(), b.GetKey())
	})
	for _, seg := range s.archive.segments {
		out.Segments = append(out.Segments, encodeSegment(number, seg))
	}
}

// Restore replaces the ledger's state by a snapshot of a ledger with the same
// configuration.
func (l *Ledger) Restore(data []byte) error {
	var in cmdpb.LedgerSnapshot
	if err := proto.Unmarshal(data, &in); err != nil {
		return fmt.Errorf("decode ledger: %w", err)
	}
	if len(in.GetPlaces()) != len(l.shards) {
		return fmt.Errorf("ledger snapshot has %d shards, want %d", len(in.GetPlaces()), len(l.shards))
	}
	fresh := New(l.cfg)
	if err := fresh.load(&in); err != nil {
		return err
	}
	for i, s := range l.shards {
		s.take(fresh.shards[i])
	}
	return nil
}

// take replaces the shard's state by that of another one.
func (s *shard) take(other *shard) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.live, s.running, s.ended = other.live, other.running, other.ended
	s.endedSize, s.places, s.archive = other.endedSize, other.places, other.archive
}

// load fills an empty ledger.
func (l *Ledger) load(in *cmdpb.LedgerSnapshot) error {
	for i, places := range in.GetPlaces() {
		l.shards[i].places = places
	}
	entries := make([]*entry, 0, len(in.GetEntries()))
	for _, encoded := range in.GetEntries() {
		e, err := decodeEntry(encoded)
		if err != nil {
			return err
		}
		entries = append(entries, e)
	}
	slices.SortFunc(entries, func(a, b *entry) int { return cmp.Compare(a.place, b.place) })
	for _, e := range entries {
		l.shardOf(e.key).insert(e)
	}
	for _, encoded := range in.GetSegments() {
		if int(encoded.GetShard()) >= len(l.shards) {
			return fmt.Errorf("ledger segment of shard %d", encoded.GetShard())
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

// insert adds a restored entry; entries come in the order of their places.
func (s *shard) insert(e *entry) {
	s.live[e.key] = e
	item := waiting{entry: e, place: e.place}
	if e.state == StateRunning {
		s.running.push(item)
		return
	}
	s.ended.push(item)
	s.endedSize += e.size()
}

func encodeEntry(e *entry) *cmdpb.LedgerEntry {
	out := &cmdpb.LedgerEntry{
		Key: e.key[:], State: uint32(e.state), Fingerprint: uint64(e.fingerprint),
		Attempt: string(e.attempt), Target: string(e.target), Incarnation: uint64(e.incarnation),
		Dispatched: e.dispatched, Time: e.at, Place: e.place,
		Voided: string(e.voided),
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
		at: in.GetTime(), place: in.GetPlace(), answer: in.GetAnswer(),
		voided: ident.AttemptID(in.GetVoided()),
	}
	if copy(e.key[:], in.GetKey()) != len(e.key) {
		return nil, fmt.Errorf("ledger key of %d bytes", len(in.GetKey()))
	}
	return e, nil
}

func encodeSegment(shard uint32, seg *segment) *cmdpb.LedgerSegment {
	out := &cmdpb.LedgerSegment{Shard: shard, Span: seg.number}
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
		return nil, fmt.Errorf("ledger segment of %d bytes for %d keys", len(in.GetKeys()), len(in.GetStates()))
	}
	seg := &segment{number: in.GetSpan()}
	seg.keys = make([]Key, len(in.GetStates()))
	seg.states = make([]State, len(in.GetStates()))
	for i := range seg.keys {
		copy(seg.keys[i][:], in.GetKeys()[i*width:])
		seg.states[i] = State(in.GetStates()[i])
	}
	return seg, nil
}
