package store_test

import (
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/version/cmdpb"
	"cactusline.dev/cactusline/internal/version/record"
	"cactusline.dev/cactusline/internal/version/store"
)

// Any proposable command, applied twice, must give the same results on two
// stores and survive a snapshot.
func FuzzApply(f *testing.F) {
	for _, c := range []*cmdpb.Command{
		applyCommand("c", serviceJSON("s", 0, "p"), targetJSON("t", "s")), retireCommand("d", "Service", "s", 1),
		claimCommand("k", "a", 1), settleCommand("k", "a", []byte("x")), drainCommand("e", "vm1", false),
	} {
		entry, err := store.EncodeCommand(c)
		assert.NilError(f, err)
		f.Add(entry)
	}
	f.Add([]byte{})
	f.Add([]byte{0x08, 1, 0x10, 0xff}) // format 1, then a truncated varint
	f.Fuzz(func(t *testing.T, entry []byte) {
		if store.CheckCommand(entry) != nil {
			return
		}
		s, twin := store.New(store.Config{}), store.New(store.Config{})
		for index := uint64(1); index <= 2; index++ {
			data := s.Apply(index, entry)
			result := &cmdpb.Result{}
			assert.NilError(t, proto.Unmarshal(data, result))
			assert.Equal(t, string(twin.Apply(index, entry)), string(data))
		}
		assert.NilError(t, twin.Restore(snapshotOf(t, s)))
		assert.Equal(t, string(snapshotOf(t, twin)), string(snapshotOf(t, s)))
	})
}

// Restore must refuse a damaged snapshot or leave a state that can be read.
func FuzzRestore(f *testing.F) {
	r := newReplica(f, store.Config{})
	r.apply(applyCommand("c", serviceJSON("s", 0, "p"), targetJSON("t", "s")))
	r.apply(claimCommand("k", "a", 1))
	f.Add(r.snapshot())
	f.Add([]byte{0x08, 9}) // format 9
	f.Fuzz(func(t *testing.T, data []byte) {
		s := store.New(store.Config{})
		if s.Restore(data) == nil {
			snapshotOf(t, s)
			_, err := (&record.Set{}).Apply(s.DeltaSince(0))
			assert.NilError(t, err)
			s.DeltaSince(s.Revision() - 1)
		}
	})
}
