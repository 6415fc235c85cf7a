package replay

import (
	"github.com/cespare/xxhash/v2"

	"cactusline.dev/cactusline/internal/version/ident"
)

// filterHashes is the number of bits that each attempt sets.
const filterHashes = 6

// filter is a Bloom filter over attempt IDs. It has no false negatives and few
// false positives. Its memory is allocated when the first ID is added.
type filter struct {
	size int // bytes
	bits []uint64
}

func (f *filter) add(id ident.AttemptID) {
	if f.bits == nil {
		f.bits = make([]uint64, max(1, f.size/8))
	}
	hash := xxhash.Sum64String(string(id))
	for i := range uint64(filterHashes) {
		word, bit := f.bitAt(hash, i)
		f.bits[word] |= bit
	}
}

func (f *filter) has(id ident.AttemptID) bool {
	if f.bits == nil {
		return false
	}
	hash := xxhash.Sum64String(string(id))
	for i := range uint64(filterHashes) {
		if word, bit := f.bitAt(hash, i); f.bits[word]&bit == 0 {
			return false
		}
	}
	return true
}

// bitAt returns the word index and bit mask of the i-th position of a hash. The
// positions start at the upper half of the hash and are hash|1 apart.
func (f *filter) bitAt(hash, i uint64) (word, bit uint64) {
	position := (hash>>32 + i*(hash|1)) % uint64(len(f.bits)*64)
	return position / 64, 1 << (position % 64)
}
