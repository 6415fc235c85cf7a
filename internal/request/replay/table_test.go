package replay_test

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/request/replay"
	"cactusline.dev/cactusline/internal/version/ident"
)

var epoch = time.Unix(1000, 0)

// TestRandomisedBeginTombstoneRace calls Begin and Tombstone concurrently for the
// same attempts. Each attempt must either run once or be tombstoned.
func TestRandomisedBeginTombstoneRace(t *testing.T) {
	const attempts, racers = 300, 6
	table := replay.New(replay.Config{})
	var runs, tombstones [attempts]int
	var mu sync.Mutex
	var group sync.WaitGroup
	for racer := range racers {
		group.Go(func() {
			for i := range attempts {
				id := ident.AttemptID(fmt.Sprint(i))
				callTombstone := (i+racer)%3 == 0
				started := !callTombstone && table.Begin(epoch, id) == replay.RunAttempt
				tombstoned := callTombstone && table.Tombstone(epoch, id)
				mu.Lock()
				if started {
					runs[i]++
				}
				if tombstoned {
					tombstones[i]++
				}
				mu.Unlock()
			}
		})
	}
	group.Wait()
	for i := range attempts {
		assert.Assert(t, runs[i]+min(tombstones[i], 1) == 1, "attempt %d: %d runs, %d tombstones", i, runs[i], tombstones[i])
	}
}

// TestRandomisedReadsUnderMemoryLimit compares what is read with the original
// answers while the table has too little memory to keep them all.
func TestRandomisedReadsUnderMemoryLimit(t *testing.T) {
	text := make([]byte, 1<<20)
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range text {
		text[i] = byte(rng.Uint32())
	}
	rapid.Check(t, func(t *rapid.T) {
		const maxAnswerBytes, maxBytes = 8 << 10, 16 << 10
		table := replay.New(replay.Config{Shards: 1, MaxAnswerBytes: maxAnswerBytes, MaxBufferBytes: maxBytes})
		answers := make(map[ident.AttemptID]int)
		ended := make(map[ident.AttemptID]bool)
		buf := make([]byte, 3000)
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			id := ident.AttemptID(rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f", "g"}).Draw(t, "id"))
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				if _, begun := answers[id]; begun {
					table.Finish(epoch, id, &wire.End{})
					ended[id] = true
				}
			case 1, 2, 3, 4, 5:
				_, begun := answers[id]
				assert.Equal(t, table.Begin(epoch, id) == replay.RunAttempt, !begun)
				size := rapid.IntRange(0, 5000).Draw(t, "size")
				if !ended[id] {
					table.Append(id, text[answers[id]:answers[id]+size])
					answers[id] += size
				}
			default:
				offset := uint64(rapid.IntRange(0, answers[id]+1).Draw(t, "offset"))
				read, err := table.ReadFrom(id, offset, buf)
				if err != nil {
					continue
				}
				assert.Assert(t, bytes.Equal(buf[:read.Copied], text[offset:int(offset)+read.Copied]))
				assert.Assert(t, read.End == nil || int(offset)+read.Copied == answers[id])
				assert.Assert(t, read.Copied > 0 || read.End != nil || read.Notify != nil)
			}
			// Each of the 7 attempts may have a buffer of the minimum size, 512 bytes.
			assert.Assert(t, int(table.Stats().BufferBytes) <= maxBytes+7*512)
		}
	})
}

func TestReadersAreNotified(t *testing.T) {
	table := replay.New(replay.Config{})
	assert.Equal(t, table.Begin(epoch, "a"), replay.RunAttempt)
	var buf [8]byte
	for _, change := range []func(){
		func() { table.SetHead("a", &wire.Head{Status: 200}) },
		func() { table.Append("a", []byte("xy")) },
		func() { table.Finish(epoch, "a", &wire.End{Length: 2}) },
	} {
		// The offset is 0 until Append allocates a buffer of 512 bytes, then 2.
		read, err := table.ReadFrom("a", uint64(table.Stats().BufferBytes/512)*2, buf[:])
		assert.NilError(t, err)
		change()
		<-read.Notify
	}
	read, err := table.ReadFrom("a", 0, buf[:])
	assert.NilError(t, err)
	assert.Equal(t, string(buf[:read.Copied]), "xy")
	assert.Equal(t, read.End.Length, uint64(2))
	assert.Equal(t, read.Head.Status, int32(200))
}

func TestExpiry(t *testing.T) {
	table := replay.New(replay.Config{})
	assert.Assert(t, table.Tombstone(epoch, "tombstoned"))
	assert.Equal(t, table.Begin(epoch, "tombstoned"), replay.RefuseAttempt)
	for _, id := range []ident.AttemptID{"withdrawn", "once", "idempotent"} {
		begin := table.Begin
		if id == "idempotent" {
			begin = table.BeginIdempotent
		}
		assert.Equal(t, begin(epoch, id), replay.RunAttempt)
	}
	assert.Assert(t, table.Withdraw(epoch, "withdrawn"))
	assert.Equal(t, table.Begin(epoch, "withdrawn"), replay.RefuseAttempt)

	var unknown *replay.UnknownAttemptError
	_, err := table.ReadFrom("other", 0, nil)
	assert.Assert(t, errors.As(err, &unknown))
	var unavailable *replay.AnswerUnavailableError
	_, err = table.ReadFrom("tombstoned", 0, nil)
	assert.Assert(t, errors.As(err, &unavailable))

	for _, id := range []ident.AttemptID{"once", "idempotent"} {
		table.Append(id, []byte("text"))
		table.Finish(epoch, id, &wire.End{Length: 4})
	}
	table.Expire(epoch.Add(replay.DefaultAnswerTTL))
	assert.DeepEqual(t, table.Stats(), replay.Stats{Attempts: 3})
	assert.Equal(t, table.Begin(epoch, "once"), replay.JoinAttempt)
	later := epoch.Add(replay.DefaultAttemptTTL)
	table.Expire(later)
	assert.DeepEqual(t, table.Stats(), replay.Stats{})
	assert.Equal(t, table.Begin(later, "tombstoned"), replay.RefuseAttempt, "the filter still remembers the tombstone")
	assert.Assert(t, !table.Tombstone(later, "once"), "an attempt that ran can't be tombstoned")
	assert.Assert(t, table.Tombstone(later, "other"))
}

// TestNeverTombstonesStartedAttempt runs many more attempts than the table has
// entries for. The Bloom filter must still prevent a tombstone for each of them.
func TestNeverTombstonesStartedAttempt(t *testing.T) {
	const attempts, neverBegun = 50_000, 2000
	table := replay.New(replay.Config{MaxAttempts: 1000})
	for i := range attempts {
		id := ident.AttemptID(fmt.Sprint("ran", i))
		assert.Equal(t, table.Begin(epoch, id), replay.RunAttempt)
		table.Finish(epoch, id, &wire.End{})
	}
	assert.Assert(t, table.Stats().Attempts <= 1000)
	for i := range attempts {
		if table.Tombstone(epoch, ident.AttemptID(fmt.Sprint("ran", i))) {
			t.Fatalf("attempt %d ran and was tombstoned", i)
		}
	}
	refused := 0
	for i := range neverBegun {
		if !table.Tombstone(epoch, ident.AttemptID(fmt.Sprint("never", i))) {
			refused++
		}
	}
	assert.Assert(t, refused <= neverBegun/100, "%d of %d attempts that never ran could not be tombstoned", refused, neverBegun)
	assert.Equal(t, table.Begin(epoch, "new"), replay.RunAttempt)
}

func TestTableFullOfRunningAttempts(t *testing.T) {
	table := replay.New(replay.Config{Shards: 1, MaxAttempts: 2})
	assert.Equal(t, table.Begin(epoch, "a"), replay.RunAttempt)
	assert.Equal(t, table.Begin(epoch, "b"), replay.RunAttempt)
	assert.Equal(t, table.Begin(epoch, "c"), replay.TableFull)
	assert.Assert(t, !table.Tombstone(epoch, "c"))
}

// BenchmarkAttempt runs attempts whose answers have 100 chunks of 20 bytes, each
// read once.
func BenchmarkAttempt(b *testing.B) {
	table := replay.New(replay.Config{MaxAttempts: 1 << 30})
	chunk, buf := make([]byte, 20), make([]byte, 64)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		id := ident.AttemptID(fmt.Sprintf("request-of-twenty-%d", i))
		table.Begin(epoch, id)
		for offset := range uint64(100) {
			table.Append(id, chunk)
			_, err := table.ReadFrom(id, offset*20, buf)
			if err != nil {
				b.Fatal(err)
			}
		}
		table.Finish(epoch, id, &wire.End{})
	}
}

// BenchmarkTombstone tombstones attempts. Its bytes per operation are the memory
// of one tombstone.
func BenchmarkTombstone(b *testing.B) {
	table := replay.New(replay.Config{MaxAttempts: 1 << 30})
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		table.Tombstone(epoch, ident.AttemptID(fmt.Sprintf("request-of-twenty-%d", i)))
	}
}
