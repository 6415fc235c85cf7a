package replay

import (
	"github.com/cespare/xxhash/v2"

	"cactusline.dev/cactusline/internal/version/ident"
)

// filterHashes is the number of bits that one attempt sets.
const filterHashes = 6

// filter is a Bloom filter over attempts: it never denies one that was added,
// and rarely takes another for one. It is allocated when the first is added.
type filter struct {
	size int
	bits []uint64
}

func (f *filter) add(id ident.AttemptID) {
	if f.bits == nil {
		f.bits = make([]uint64, max(1, f.size/8))
	}
	hash := xxhash.Sum64String(string(id))
	for i := range uint64(filterHashes) {
		word, bit := f.place(hash, i)
		f.bits[word] |= bit
	}
}

func (f *filter) has(id ident.AttemptID) bool {
	if f.bits == nil {
		return false
	}
	hash := xxhash.Sum64String(string(id))
	for i := range uint64(filterHashes) {
		if word, bit := f.place(hash, i); f.bits[word]&bit == 0 {
			return false
		}
	}
	return true
}

// place returns the word and bit of one of the hashes, which are derived from
// the halves of a single one.
func (f *filter) place(hash, i uint64) (word, bit uint64) {
	at := (hash>>32 + i*(hash|1)) % uint64(len(f.bits)*64)
	return at / 64, 1 << (at % 64)
}
