// Package patch encodes a document as the difference to an older one. A
// document is cut at the opening braces of its objects; pieces that the older
// one holds are named by their place, and the rest is compressed.
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

// MaxBytes bounds a document; a patch that makes a longer one is refused.
const MaxBytes = 16 << 20

// Kinds of operations in a patch.
const (
	opLiteral = iota // length, then as many bytes
	opCopy           // first piece of the base and how many
)

var errMalformed = errors.New("malformed patch")

// Diff returns the patch that turns base into next. An empty base gives a
// patch that stands for itself.
func Diff(base, next []byte) ([]byte, error) {
	places := make(map[uint64]int)
	basePieces := pieces(base)
	for i, piece := range basePieces {
		places[xxhash.Sum64(piece)] = i
	}
	var ops, literal []byte
	flush := func() {
		if len(literal) > 0 {
			ops = append(ops, opLiteral)
			ops = binary.AppendUvarint(ops, uint64(len(literal)))
			ops = append(ops, literal...)
			literal = literal[:0]
		}
	}
	nextPieces := pieces(next)
	for i := 0; i < len(nextPieces); {
		first, found := places[xxhash.Sum64(nextPieces[i])]
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
		flush()
		ops = append(ops, opCopy)
		ops = binary.AppendUvarint(ops, uint64(first))
		ops = binary.AppendUvarint(ops, uint64(run))
		i += run
	}
	flush()
	return compress(ops)
}

// Apply returns the document that a patch of base makes.
func Apply(base, patch []byte) ([]byte, error) {
	ops, err := expand(patch)
	if err != nil {
		return nil, err
	}
	basePieces := pieces(base)
	var next []byte
	for len(ops) > 0 {
		op := ops[0]
		first, ops1, err := number(ops[1:])
		if err != nil {
			return nil, err
		}
		ops = ops1
		switch op {
		case opLiteral:
			if first > uint64(len(ops)) {
				return nil, errMalformed
			}
			next = append(next, ops[:first]...)
			ops = ops[first:]
		case opCopy:
			var run uint64
			if run, ops, err = number(ops); err != nil {
				return nil, err
			}
			if first > uint64(len(basePieces)) || run > uint64(len(basePieces))-first {
				return nil, errMalformed
			}
			for _, piece := range basePieces[first : first+run] {
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

func number(ops []byte) (uint64, []byte, error) {
	value, n := binary.Uvarint(ops)
	if n <= 0 {
		return 0, nil, errMalformed
	}
	return value, ops[n:], nil
}

// pieces cuts a document before each opening brace.
func pieces(document []byte) [][]byte {
	var list [][]byte
	for len(document) > 0 {
		end := len(document)
		if at := bytes.IndexByte(document[1:], '{'); at >= 0 {
			end = at + 1
		}
		list = append(list, document[:end])
		document = document[end:]
	}
	return list
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
