// Package patch encodes a document as the difference from an older one. A
// document is split before the opening braces of its objects. Pieces that the
// older document contains are replaced by references to them, and the result
// is compressed.
package patch

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
)

// MaxBytes is the maximum size of a document. Apply rejects patches that
// expand to more.
const MaxBytes = 16 << 20

// Kinds of operations in a patch.
const (
	opLiteral = iota // followed by a length and that many bytes
	opCopy           // followed by the index of a piece of the base and a count of pieces
)

var errMalformed = errors.New("malformed patch")

// Diff returns the patch that turns base into next. A patch from an empty base
// contains the whole document.
func Diff(base, next []byte) ([]byte, error) {
	baseIndexes := make(map[uint64]int)
	basePieces := split(base)
	for i, piece := range basePieces {
		baseIndexes[xxhash.Sum64(piece)] = i
	}
	var ops, literal []byte
	flushLiteral := func() {
		if len(literal) > 0 {
			ops = append(ops, opLiteral)
			ops = binary.AppendUvarint(ops, uint64(len(literal)))
			ops = append(ops, literal...)
			literal = literal[:0]
		}
	}
	nextPieces := split(next)
	for i := 0; i < len(nextPieces); {
		first, found := baseIndexes[xxhash.Sum64(nextPieces[i])]
		run := 0
		for found && i+run < len(nextPieces) && first+run < len(basePieces) &&
			bytes.Equal(nextPieces[i+run], basePieces[first+run]) {
			run++
		}
		if run == 0 {
			literal = append(literal, nextPieces[i]...)
			i++
			continue
		}
		flushLiteral()
		ops = append(ops, opCopy)
		ops = binary.AppendUvarint(ops, uint64(first))
		ops = binary.AppendUvarint(ops, uint64(run))
		i += run
	}
	flushLiteral()
	return compress(ops)
}

// Apply returns the document that results from applying a patch to base.
func Apply(base, patch []byte) ([]byte, error) {
	ops, err := expand(patch)
	if err != nil {
		return nil, err
	}
	basePieces := split(base)
	var next []byte
	for len(ops) > 0 {
		op := ops[0]
		operand, rest, err := readUvarint(ops[1:])
		if err != nil {
			return nil, err
		}
		ops = rest
		switch op {
		case opLiteral:
			if operand > uint64(len(ops)) {
				return nil, errMalformed
			}
			next = append(next, ops[:operand]...)
			ops = ops[operand:]
		case opCopy:
			var run uint64
			if run, ops, err = readUvarint(ops); err != nil {
				return nil, err
			}
			if operand > uint64(len(basePieces)) || run > uint64(len(basePieces))-operand {
				return nil, errMalformed
			}
			for _, piece := range basePieces[operand : operand+run] {
				next = append(next, piece...)
			}
		default:
			return nil, errMalformed
		}
		if len(next) > MaxBytes {
			return nil, fmt.Errorf("document is longer than %d bytes", MaxBytes)
		}
	}
	return next, nil
}

// readUvarint decodes the number at the start of ops and returns the rest.
func readUvarint(ops []byte) (uint64, []byte, error) {
	value, n := binary.Uvarint(ops)
	if n <= 0 {
		return 0, nil, errMalformed
	}
	return value, ops[n:], nil
}

// split splits a document into pieces, before each opening brace.
func split(document []byte) [][]byte {
	var out [][]byte
	for len(document) > 0 {
		end := len(document)
		if brace := bytes.IndexByte(document[1:], '{'); brace >= 0 {
			end = brace + 1
		}
		out = append(out, document[:end])
		document = document[end:]
	}
	return out
}

func compress(data []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("compress patch: %w", err)
	}
	if _, err := w.Write(data); err != nil {
		return nil, fmt.Errorf("compress patch: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress patch: %w", err)
	}
	return out.Bytes(), nil
}

func expand(data []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(data))
	ops, err := io.ReadAll(io.LimitReader(r, MaxBytes+1))
	if err != nil {
		return nil, fmt.Errorf("expand patch: %w", err)
	}
	if len(ops) > MaxBytes {
		return nil, fmt.Errorf("patch is longer than %d bytes", MaxBytes)
	}
	return ops, nil
}
