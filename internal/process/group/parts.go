package group

import "cactusline.dev/cactusline/internal/process/raftpb"

// Limits of snapshots on their way: a transport takes messages of partBytes
// and a little more.
const (
	partBytes = 1 << 20
	maxParts  = 4096
)

// split cuts a message with a large snapshot into parts.
func split(m *raftpb.Message) []*raftpb.Message {
	data := m.GetSnapshot().GetData()
	if len(data) <= partBytes {
		return []*raftpb.Message{m}
	}
	count := (len(data) + partBytes - 1) / partBytes
	parts := make([]*raftpb.Message, 0, count)
	for i := range count {
		end := min(len(data), (i+1)*partBytes)
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
				Data:    data[i*partBytes : end],
			},
		})
	}
	return parts
}

// partial gathers the parts of one snapshot. Lost ones come again when the
// leader sends the whole snapshot again.
type partial struct {
	from  string
	term  uint64
	index uint64
	parts [][]byte
	left  int
}

// join returns the whole message once its last part has come, and nil before.
func (p *partial) join(m *raftpb.Message) *raftpb.Message {
	count := int(m.GetParts())
	part := int(m.GetPart())
	if count <= 1 {
		return m
	}
	if count > maxParts || part >= count {
		return nil
	}
	index := m.GetSnapshot().GetIndex()
	if p.from != m.GetFrom() || p.term != m.GetTerm() || p.index != index || len(p.parts) != count {
		*p = partial{from: m.GetFrom(), term: m.GetTerm(), index: index, parts: make([][]byte, count), left: count}
	}
	if p.parts[part] == nil {
		p.parts[part] = m.GetSnapshot().GetData()
		p.left--
	}
	if p.left > 0 {
		return nil
	}
	var data []byte
	for _, bytes := range p.parts {
		data = append(data, bytes...)
	}
	*p = partial{}
	m.Snapshot.Data = data
	return m
}
