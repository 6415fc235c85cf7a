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
				won := !buries && table.Begin(epoch, id) == replay.VerdictRun
				buried := buries && table.Bury(epoch, id)
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
				assert.Equal(t, table.Begin(epoch, id) == replay.VerdictRun, !begun)
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
				assert.Assert(t, bytes.Equal(buf[:read.Size], text[offset:int(offset)+read.Size]))
				assert.Assert(t, read.End == nil || int(offset)+read.Size == answers[id])
				assert.Assert(t, read.Size > 0 || read.End != nil || read.Notify != nil)
			}
			assert.Assert(t, int(table.Stats().Bytes) <= inAll+7*4<<10)
		}
	})
}

func TestReadersAreWoken(t *testing.T) {
	table := replay.New(replay.Config{})
	assert.Equal(t, table.Begin(epoch, "a"), replay.VerdictRun)
	var buf [8]byte
	for _, act := range []func(){
		func() { table.SetHead("a", &wire.Head{Status: 200}) },
		func() { table.Append("a", []byte("xy")) },
		func() { table.Finish(epoch, "a", &wire.End{Length: 2}) },
	} {
		read, err := table.ReadFrom("a", uint64(table.Stats().Bytes/(4<<10))*2, buf[:])
		assert.NilError(t, err)
		act()
		<-read.Notify
	}
	read, err := table.ReadFrom("a", 0, buf[:])
	assert.NilError(t, err)
	assert.Equal(t, string(buf[:read.Size]), "xy")
	assert.Equal(t, read.End.Length, uint64(2))
	assert.Equal(t, read.Head.Status, int32(200))
}

func TestForgets(t *testing.T) {
	table := replay.New(replay.Config{Shards: 1, MaxMarks: 3})
	assert.Assert(t, table.Bury(epoch, "a"))
	assert.Equal(t, table.Begin(epoch, "a"), replay.VerdictBuried)
	assert.Equal(t, table.Begin(epoch, "b"), replay.VerdictRun)
	assert.Assert(t, table.Withdraw(epoch, "b"))
	assert.Equal(t, table.Begin(epoch, "b"), replay.VerdictBuried)
	assert.Equal(t, table.Begin(epoch, "c"), replay.VerdictRun)
	assert.Equal(t, table.Begin(epoch, "d"), replay.VerdictFull)
	assert.Assert(t, !table.Bury(epoch, "d"))

	var unseen *replay.UnseenError
	_, err := table.ReadFrom("d", 0, nil)
	assert.Assert(t, errors.As(err, &unseen))
	var gone *replay.GoneError
	_, err = table.ReadFrom("a", 0, nil)
	assert.Assert(t, errors.As(err, &gone))

	table.Append("c", []byte("text"))
	table.Finish(epoch, "c", &wire.End{Length: 4})
	table.Expire(epoch.Add(replay.DefaultKeepAnswer))
	assert.DeepEqual(t, table.Stats(), replay.Stats{Attempts: 3})
	assert.Equal(t, table.Begin(epoch, "c"), replay.VerdictJoin)
	table.Expire(epoch.Add(replay.DefaultKeepMark))
	assert.DeepEqual(t, table.Stats(), replay.Stats{})
}
