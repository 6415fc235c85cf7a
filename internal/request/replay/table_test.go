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

// TestRandomisedOneWinner races Begin and Bury of the same attempts.
func TestRandomisedOneWinner(t *testing.T) {
	const attempts, racers = 300, 6
	table := replay.New(replay.Config{})
	var wins, graves [attempts]int
	var mu sync.Mutex
	var group sync.WaitGroup
	for racer := range racers {
		group.Go(func() {
			for i := range attempts {
				id := ident.AttemptID(fmt.Sprint(i))
				buries := (i+racer)%3 == 0
				won := !buries && table.Begin(epoch, id) == replay.RunAttempt
				buried := buries && table.Tombstone(epoch, id)
				mu.Lock()
				if won {
					wins[i]++
				}
				if buried {
					graves[i]++
				}
				mu.Unlock()
			}
		})
	}
	group.Wait()
	for i := range attempts {
		assert.Assert(t, wins[i]+min(graves[i], 1) == 1, "attempt %d: %d runs, %d graves", i, wins[i], graves[i])
	}
}

// TestRandomisedAnswers compares what is read with the whole answer, under a
// memory that is too small.
func TestRandomisedAnswers(t *testing.T) {
	text := make([]byte, 1<<20)
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range text {
		text[i] = byte(rng.Uint32())
	}
	rapid.Check(t, func(t *rapid.T) {
		const perAnswer, inAll = 8 << 10, 16 << 10
		table := replay.New(replay.Config{Shards: 1, MaxAnswerBytes: perAnswer, MaxBytes: inAll})
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
			assert.Assert(t, int(table.Stats().Bytes) <= inAll+7*512)
		}
	})
}

func TestReadersAreWoken(t *testing.T) {
	table := replay.New(replay.Config{})
	assert.Equal(t, table.Begin(epoch, "a"), replay.RunAttempt)
	var buf [8]byte
	for _, act := range []func(){
		func() { table.SetHead("a", &wire.Head{Status: 200}) },
		func() { table.Append("a", []byte("xy")) },
		func() { table.Finish(epoch, "a", &wire.End{Length: 2}) },
	} {
		read, err := table.ReadFrom("a", uint64(table.Stats().Bytes/512)*2, buf[:])
		assert.NilError(t, err)
		act()
		<-read.Notify
	}
	read, err := table.ReadFrom("a", 0, buf[:])
	assert.NilError(t, err)
	assert.Equal(t, string(buf[:read.Copied]), "xy")
	assert.Equal(t, read.End.Length, uint64(2))
	assert.Equal(t, read.Head.Status, int32(200))
}

func TestForgets(t *testing.T) {
	table := replay.New(replay.Config{})
	assert.Assert(t, table.Tombstone(epoch, "buried"))
	assert.Equal(t, table.Begin(epoch, "buried"), replay.AttemptTombstoned)
	for _, id := range []ident.AttemptID{"withdrawn", "paid", "chat"} {
		begin := table.Begin
		if id == "chat" {
			begin = table.BeginIdempotent
		}
		assert.Equal(t, begin(epoch, id), replay.RunAttempt)
	}
	assert.Assert(t, table.Withdraw(epoch, "withdrawn"))
	assert.Equal(t, table.Begin(epoch, "withdrawn"), replay.AttemptTombstoned)

	var unseen *replay.UnknownAttemptError
	_, err := table.ReadFrom("other", 0, nil)
	assert.Assert(t, errors.As(err, &unseen))
	var gone *replay.OffsetError
	_, err = table.ReadFrom("buried", 0, nil)
	assert.Assert(t, errors.As(err, &gone))

	for _, id := range []ident.AttemptID{"paid", "chat"} {
		table.Append(id, []byte("text"))
		table.Finish(epoch, id, &wire.End{Length: 4})
	}
	table.Expire(epoch.Add(replay.DefaultAnswerTTL))
	assert.DeepEqual(t, table.Stats(), replay.Stats{Attempts: 3})
	assert.Equal(t, table.Begin(epoch, "paid"), replay.JoinAttempt)
	later := epoch.Add(replay.DefaultAttemptTTL)
	table.Expire(later)
	assert.DeepEqual(t, table.Stats(), replay.Stats{})
	assert.Equal(t, table.Begin(later, "buried"), replay.AttemptTombstoned, "a filter stands for the name")
	assert.Assert(t, !table.Tombstone(later, "paid"), "what ran is never buried")
	assert.Assert(t, table.Tombstone(later, "other"))
}

// TestNeverBuriesWhatRan runs many more attempts than the table has names for.
func TestNeverBuriesWhatRan(t *testing.T) {
	const attempts, strangers = 50_000, 2000
	table := replay.New(replay.Config{MaxAttempts: 1000})
	for i := range attempts {
		id := ident.AttemptID(fmt.Sprint("ran", i))
		assert.Equal(t, table.Begin(epoch, id), replay.RunAttempt)
		table.Finish(epoch, id, &wire.End{})
	}
	assert.Assert(t, table.Stats().Attempts <= 1000)
	for i := range attempts {
		if table.Tombstone(epoch, ident.AttemptID(fmt.Sprint("ran", i))) {
			t.Fatalf("attempt %d ran and was buried", i)
		}
	}
	refused := 0
	for i := range strangers {
		if !table.Tombstone(epoch, ident.AttemptID(fmt.Sprint("stranger", i))) {
			refused++
		}
	}
	assert.Assert(t, refused <= strangers/100, "%d of %d that never ran could not be buried", refused, strangers)
	assert.Equal(t, table.Begin(epoch, "new"), replay.RunAttempt)
}

func TestFullOfRunningAttempts(t *testing.T) {
	table := replay.New(replay.Config{Shards: 1, MaxAttempts: 2})
	assert.Equal(t, table.Begin(epoch, "a"), replay.RunAttempt)
	assert.Equal(t, table.Begin(epoch, "b"), replay.RunAttempt)
	assert.Equal(t, table.Begin(epoch, "c"), replay.TableFull)
	assert.Assert(t, !table.Tombstone(epoch, "c"))
}

// BenchmarkAttempt runs attempts of 100 pieces of 20 bytes, each read once.
func BenchmarkAttempt(b *testing.B) {
	table := replay.New(replay.Config{MaxAttempts: 1 << 30})
	piece, buf := make([]byte, 20), make([]byte, 64)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		id := ident.AttemptID(fmt.Sprintf("request-of-twenty-%d", i))
		table.Begin(epoch, id)
		for offset := range uint64(100) {
			table.Append(id, piece)
			_, err := table.ReadFrom(id, offset*20, buf)
			if err != nil {
				b.Fatal(err)
			}
		}
		table.Finish(epoch, id, &wire.End{})
	}
}

// BenchmarkMark buries attempts; its bytes an operation are what one costs to
// remember.
func BenchmarkMark(b *testing.B) {
	table := replay.New(replay.Config{MaxAttempts: 1 << 30})
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		table.Tombstone(epoch, ident.AttemptID(fmt.Sprintf("request-of-twenty-%d", i)))
	}
}
