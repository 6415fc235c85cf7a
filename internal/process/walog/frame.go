package walog

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"cactusline.dev/cactusline/internal/process/raftpb"
)

// A frame is a header, the payload's length and its checksum, the header's
// own checksum, and the payload. Checksums cover the frame's place in the
// log, so that a frame counts only where it was written.
const (
	headerBytes  = 4 + 8 + 4
	sectorBytes  = 512
	maxFrameSize = 1 << 30
)

// frame appends the record's frame to buf, which will be written at the end
// of the current segment.
func (l *Log) frame(buf []byte, record *raftpb.Record) []byte {
	number := l.segments[len(l.segments)-1].number
	return appendFrame(buf, number, l.size+int64(len(buf)), marshal(record))
}

func appendFrame(buf []byte, number uint64, offset int64, payload []byte) []byte {
	var header [headerBytes]byte
	binary.LittleEndian.PutUint32(header[0:], uint32(len(payload)))
	binary.LittleEndian.PutUint64(header[4:], checksum(number, offset, payload))
	binary.LittleEndian.PutUint32(header[12:], uint32(checksum(number, offset, header[:12])))
	return append(append(buf, header[:]...), payload...)
}

func checksum(number uint64, offset int64, data []byte) uint64 {
	var place [16]byte
	binary.LittleEndian.PutUint64(place[0:], number)
	binary.LittleEndian.PutUint64(place[8:], uint64(offset))
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.Write(place[:])
	_, _ = digest.Write(data)
	return digest.Sum64()
}

// readFrame returns the payload of the frame at offset and the offset after
// it; ok is false where the frame is damaged or incomplete.
func readFrame(data []byte, number uint64, offset int64) (payload []byte, next int64, ok bool) {
	length, ok := readHeader(data, number, offset)
	if !ok || offset+headerBytes+length > int64(len(data)) {
		return nil, offset, false
	}
	start := offset + headerBytes
	payload = data[start : start+length]
	want := binary.LittleEndian.Uint64(data[offset+4:])
	return payload, start + length, checksum(number, offset, payload) == want
}

func readHeader(data []byte, number uint64, offset int64) (length int64, ok bool) {
	if offset+headerBytes > int64(len(data)) {
		return 0, false
	}
	header := data[offset : offset+headerBytes]
	length = int64(binary.LittleEndian.Uint32(header))
	want := binary.LittleEndian.Uint32(header[12:])
	return length, length <= maxFrameSize && uint32(checksum(number, offset, header[:12])) == want
}

// torn reports whether the bad frame at offset can be what an unsynced write
// left: its bytes end early, or a sector of it was never written. Any other
// damage was done to bytes that had been written whole.
func torn(data []byte, number uint64, offset int64) bool {
	end := int64(len(data))
	if length, ok := readHeader(data, number, offset); ok {
		if offset+headerBytes+length > end {
			return true
		}
		end = offset + headerBytes + length
	} else if offset+headerBytes > end {
		return true
	}
	return unwrittenSector(data, offset, end)
}

// unwrittenSector reports whether the bytes from start to end hold only
// zeros in one of the disk's sectors.
func unwrittenSector(data []byte, start, end int64) bool {
	for start < end {
		sector := min(end, (start/sectorBytes+1)*sectorBytes)
		if zeros(data[start:sector]) {
			return true
		}
		start = sector
	}
	return false
}

func zeros(data []byte) bool {
	for _, b := range data {
		if b != 0 {
			return false
		}
	}
	return true
}
