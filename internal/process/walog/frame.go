package walog

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"cactusline.dev/cactusline/internal/process/raftpb"
)

// A frame is a header followed by the payload. The header holds the length and
// checksum of the payload and the checksum of the header itself. Checksums cover
// the segment number and offset of the frame, so that a frame is valid only where
// it was written.
const (
	headerBytes     = 4 + 8 + 4
	sectorBytes     = 512
	maxPayloadBytes = 1 << 30
)

// appendRecord appends the frame of a record to buf, which will be written at the
// end of the current segment.
func (l *Log) appendRecord(buf []byte, record *raftpb.Record) []byte {
	number := l.segments[len(l.segments)-1].number
	return appendFrame(buf, number, l.segmentSize+int64(len(buf)), marshal(record))
}

func appendFrame(buf []byte, segmentNumber uint64, offset int64, payload []byte) []byte {
	var header [headerBytes]byte
	binary.LittleEndian.PutUint32(header[0:], uint32(len(payload)))
	binary.LittleEndian.PutUint64(header[4:], checksum(segmentNumber, offset, payload))
	binary.LittleEndian.PutUint32(header[12:], uint32(checksum(segmentNumber, offset, header[:12])))
	return append(append(buf, header[:]...), payload...)
}

// checksum covers data and its position, so that a frame is invalid elsewhere.
func checksum(segmentNumber uint64, offset int64, data []byte) uint64 {
	var position [16]byte
	binary.LittleEndian.PutUint64(position[0:], segmentNumber)
	binary.LittleEndian.PutUint64(position[8:], uint64(offset))
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.Write(position[:])
	_, _ = digest.Write(data)
	return digest.Sum64()
}

// readFrame returns the payload of the frame at offset and the offset after the
// frame; ok is false if the frame is damaged or incomplete.
func readFrame(data []byte, segmentNumber uint64, offset int64) (payload []byte, next int64, ok bool) {
	length, ok := readHeader(data, segmentNumber, offset)
	if !ok || offset+headerBytes+length > int64(len(data)) {
		return nil, offset, false
	}
	start := offset + headerBytes
	payload = data[start : start+length]
	want := binary.LittleEndian.Uint64(data[offset+4:])
	return payload, start + length, checksum(segmentNumber, offset, payload) == want
}

// readHeader returns the payload length of the frame at offset; ok is false if
// the header is damaged or incomplete.
func readHeader(data []byte, segmentNumber uint64, offset int64) (length int64, ok bool) {
	if offset+headerBytes > int64(len(data)) {
		return 0, false
	}
	header := data[offset : offset+headerBytes]
	length = int64(binary.LittleEndian.Uint32(header))
	want := binary.LittleEndian.Uint32(header[12:])
	return length, length <= maxPayloadBytes && uint32(checksum(segmentNumber, offset, header[:12])) == want
}

// isTorn reports whether the invalid frame at offset can result from an unsynced
// write: the data ends within the frame, or one of its sectors was never written.
// Any other damage happened to a frame that had been written completely.
func isTorn(data []byte, segmentNumber uint64, offset int64) bool {
	end := int64(len(data))
	if length, ok := readHeader(data, segmentNumber, offset); ok {
		if offset+headerBytes+length > end {
			return true
		}
		end = offset + headerBytes + length
	} else if offset+headerBytes > end {
		return true
	}
	return hasUnwrittenSector(data, offset, end)
}

// hasUnwrittenSector reports whether one of the disk sectors between start and
// end contains only zeros there.
func hasUnwrittenSector(data []byte, start, end int64) bool {
	for start < end {
		sectorEnd := min(end, (start/sectorBytes+1)*sectorBytes)
		if allZero(data[start:sectorEnd]) {
			return true
		}
		start = sectorEnd
	}
	return false
}

func allZero(data []byte) bool {
	for _, b := range data {
		if b != 0 {
			return false
		}
	}
	return true
}
