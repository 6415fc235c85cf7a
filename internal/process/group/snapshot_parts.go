package group

import "cactusline.dev/cactusline/internal/process/raftpb"

// Limits of a snapshot sent in parts. A transport must accept messages of
// maxPartBytes plus the other fields of the message.
const (
	maxPartBytes = 1 << 20
	maxParts     = 4096
)

// splitSnapshot splits a message into parts if its snapshot is larger than
// maxPartBytes.
func splitSnapshot(m *raftpb.Message) []*raftpb.Message {
	data := m.GetSnapshot().GetData()
	if len(data) <= maxPartBytes {
		return []*raftpb.Message{m}
	}
	count := (len(data) + maxPartBytes - 1) / maxPartBytes
	parts := make([]*raftpb.Message, 0, count)
	for i := range count {
		end := min(len(data), (i+1)*maxPartBytes)
		parts = append(parts, &raftpb.Message{
			Format: m.GetFormat(),
			Kind:   m.GetKind(),
			From:   m.GetFrom(),
			To:     m.GetTo(),
			Term:   m.GetTerm(),
			Part:   uint32(i),
			Parts:  uint32(count),
			Snapshot: &raftpb.Snapshot{
				Index:   m.GetSnapshot().GetIndex(),
				Term:    m.GetSnapshot().GetTerm(),
				Members: m.GetSnapshot().GetMembers(),
				Data:    data[i*maxPartBytes : end],
			},
		})
	}
	return parts
}

// snapshotAssembler collects the parts of one snapshot. Lost parts arrive
// again when the leader resends the whole snapshot.
type snapshotAssembler struct {
	from    string
	term    uint64
	index   uint64
	parts   [][]byte
	missing int
}

// reassemble returns a message that is not split as it is. For a part it
// returns the whole message once all parts have arrived, and nil before.
func (a *snapshotAssembler) reassemble(m *raftpb.Message) *raftpb.Message {
	count := int(m.GetParts())
	part := int(m.GetPart())
	if count <= 1 {
		return m
	}
	if count > maxParts || part >= count {
		return nil
	}
	index := m.GetSnapshot().GetIndex()
	if a.from != m.GetFrom() || a.term != m.GetTerm() || a.index != index || len(a.parts) != count {
		*a = snapshotAssembler{from: m.GetFrom(), term: m.GetTerm(), index: index, parts: make([][]byte, count), missing: count}
	}
	if a.parts[part] == nil {
		a.parts[part] = m.GetSnapshot().GetData()
		a.missing--
	}
	if a.missing > 0 {
		return nil
	}
	var data []byte
	for _, bytes := range a.parts {
		data = append(data, bytes...)
	}
	*a = snapshotAssembler{}
	m.Snapshot.Data = data
	return m
}
