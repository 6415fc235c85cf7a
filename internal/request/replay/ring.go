package replay

// minRingBytes is the smallest size of a ring that is not empty.
const minRingBytes = 512

// ring is a ring buffer of the newest bytes of an answer, addressed by their
// offsets in the answer.
type ring struct {
	data []byte
	// next is the offset after the last byte written.
	next uint64
	// length is the number of bytes that can be read.
	length int
}

func (r *ring) start() uint64 { return r.next - uint64(r.length) }

func (r *ring) end() uint64 { return r.next }

func (r *ring) size() int { return len(r.data) }

// sizeFor returns the buffer size for more additional bytes. It doubles the size
// as needed, up to the larger of limit and minRingBytes, and never shrinks it.
func (r *ring) sizeFor(more, limit int) int {
	size := max(len(r.data), minRingBytes)
	for size < r.length+more && size < limit {
		size *= 2
	}
	return max(len(r.data), min(size, max(limit, minRingBytes)))
}

// resize grows the buffer to size bytes and keeps its content. A smaller size
// has no effect.
func (r *ring) resize(size int) {
	if size <= len(r.data) {
		return
	}
	grown := ring{data: make([]byte, size), next: r.start()}
	first, second := r.parts(r.start(), r.length)
	grown.write(first)
	grown.write(second)
	*r = grown
}

func (r *ring) write(p []byte) {
	size := len(r.data)
	if len(p) > size {
		r.next += uint64(len(p) - size)
		p = p[len(p)-size:]
		r.length = 0
	}
	if len(p) == 0 {
		return
	}
	at := int(r.next % uint64(size))
	n := copy(r.data[at:], p)
	copy(r.data, p[n:])
	r.next += uint64(len(p))
	r.length = min(r.length+len(p), size)
}

// readAt copies bytes from offset on into buf and returns their number. The
// offset must lie between start and end.
func (r *ring) readAt(offset uint64, buf []byte) int {
	count := min(len(buf), int(r.end()-offset))
	first, second := r.parts(offset, count)
	n := copy(buf, first)
	return n + copy(buf[n:], second)
}

// parts returns count bytes from offset on as two slices of the buffer, since
// they may wrap around its end.
func (r *ring) parts(offset uint64, count int) (first, second []byte) {
	if count == 0 {
		return nil, nil
	}
	at := int(offset % uint64(len(r.data)))
	first = r.data[at:min(at+count, len(r.data))]
	return first, r.data[:count-len(first)]
}
