package replay

// minRing is the least size of a ring that holds anything, in bytes.
const minRing = 512

// ring holds the newest bytes of an answer by their offsets.
type ring struct {
	data []byte
	// next is the offset after the last byte written.
	next uint64
	// held counts the bytes that can be read.
	held int
}

func (r *ring) start() uint64 { return r.next - uint64(r.held) }

func (r *ring) end() uint64 { return r.next }

func (r *ring) size() int { return len(r.data) }

// sizeFor returns the size at which more bytes fit, doubling up to limit.
func (r *ring) sizeFor(more, limit int) int {
	size := max(len(r.data), minRing)
	for size < r.held+more && size < limit {
		size *= 2
	}
	return max(len(r.data), min(size, max(limit, minRing)))
}

// resize changes the size, which must not fall, and keeps what is held.
func (r *ring) resize(size int) {
	if size <= len(r.data) {
		return
	}
	grown := ring{data: make([]byte, size), next: r.start()}
	first, second := r.parts(r.start(), r.held)
	grown.write(first)
	grown.write(second)
	*r = grown
}

func (r *ring) write(p []byte) {
	size := len(r.data)
	if len(p) > size {
		r.next += uint64(len(p) - size)
		p = p[len(p)-size:]
		r.held = 0
	}
	if len(p) == 0 {
		return
	}
	at := int(r.next % uint64(size))
	n := copy(r.data[at:], p)
	copy(r.data, p[n:])
	r.next += uint64(len(p))
	r.held = min(r.held+len(p), size)
}

// readAt copies what is held from offset on, which must lie within it.
func (r *ring) readAt(offset uint64, buf []byte) int {
	count := min(len(buf), int(r.end()-offset))
	first, second := r.parts(offset, count)
	n := copy(buf, first)
	return n + copy(buf[n:], second)
}

// parts returns count bytes from offset on, in the two pieces in which they
// lie.
func (r *ring) parts(offset uint64, count int) (first, second []byte) {
	if count == 0 {
		return nil, nil
	}
	at := int(offset % uint64(len(r.data)))
	first = r.data[at:min(at+count, len(r.data))]
	return first, r.data[:count-len(first)]
}
