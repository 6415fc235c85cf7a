package bulk_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/conn/bulk"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/process/clock"
	"cactusline.dev/cactusline/internal/process/seeds"
	"cactusline.dev/cactusline/internal/version/ident"
)

// chunkQueue is a stream that queues the sent chunks for the receiver.
type chunkQueue struct{ chunks [][]byte }

func (q *chunkQueue) Send(m proto.Message) error {
	q.chunks = append(q.chunks, bytes.Clone(m.(*wire.TransferChunk).GetData()))
	return nil
}

func (q *chunkQueue) Receive(m proto.Message) error {
	if len(q.chunks) == 0 {
		return io.EOF
	}
	m.(*wire.TransferChunk).Data = q.chunks[0]
	q.chunks = q.chunks[1:]
	return nil
}

// TestRandomisedCorruptionIsDetected checks that Receive fails if chunks are
// dropped, altered, reordered or duplicated.
func TestRandomisedCorruptionIsDetected(t *testing.T) {
	seeds.Run(t, seeds.Range{First: 1, Last: 30}, func(t *testing.T, seed uint64) {
		rng := rand.New(rand.NewPCG(seed, 1))
		data := make([]byte, rng.IntN(6*bulk.ChunkBytes))
		for i := range data {
			data[i] = byte(rng.Uint32())
		}
		for kind := range 5 {
			q := new(chunkQueue)
			limiter := &bulk.Limiter{Clock: clock.System{}, Rate: 1 << 40}
			assert.NilError(t, bulk.Send(context.Background(), q, limiter, data))
			corrupted := q.corrupt(rng, kind)
			got, err := bulk.Receive(q, uint64(len(data)), bulk.Checksum(data))
			if corrupted {
				assert.Assert(t, err != nil, "corruption %d was not detected", kind)
				continue
			}
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(got, data))
		}
	})
}

// corrupt corrupts the queued chunks: kind 1 truncates them, 2 flips a bit, 3
// swaps two and 4 duplicates one. It reports false if kind is 0 or there are
// too few chunks.
func (q *chunkQueue) corrupt(rng *rand.Rand, kind int) bool {
	if kind == 0 || len(q.chunks) < 2 {
		return false
	}
	i := rng.IntN(len(q.chunks) - 1)
	switch kind {
	case 1:
		q.chunks = q.chunks[:i]
	case 2:
		q.chunks[i][rng.IntN(len(q.chunks[i]))] ^= 1
	case 3:
		q.chunks[i], q.chunks[i+1] = q.chunks[i+1], q.chunks[i]
	case 4:
		q.chunks[i+1] = q.chunks[i]
	}
	return true
}

func TestLimiterKeepsToRate(t *testing.T) {
	fake := clock.NewFake(time.Unix(0, 0))
	limiter := &bulk.Limiter{Clock: fake, Rate: ident.Bytes(1000)}
	assert.NilError(t, limiter.Wait(context.Background(), 500))
	done := make(chan error)
	go func() { done <- limiter.Wait(context.Background(), 1) }()
	for blocked := true; blocked; {
		select {
		case err := <-done:
			assert.NilError(t, err)
			blocked = false
		default:
			fake.Advance(time.Millisecond)
		}
	}
	assert.Assert(t, fake.Now().Sub(time.Unix(0, 0)) >= 500*time.Millisecond)
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	assert.Assert(t, errors.Is(limiter.Wait(canceled, 1), context.Canceled))
}
