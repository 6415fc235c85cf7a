// Package bulk transfers a block of data over a stream in chunks, at a limited
// rate. The receiver either gets all of it, verified by length and checksum, or
// an error.
package bulk

import (
	"context"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/version/ident"
)

// ChunkBytes is the maximum size of one chunk.
const ChunkBytes = 64 << 10

// Clock provides the time and a cancelable sleep.
type Clock interface {
	Now() time.Time
	Sleep(ctx context.Context, d time.Duration) error
}

// Sender sends messages on a stream.
type Sender interface {
	Send(m proto.Message) error
}

// Receiver receives messages from a stream.
type Receiver interface {
	Receive(m proto.Message) error
}

// CorruptError reports that received data does not match the announced length
// or checksum.
type CorruptError struct {
	Detail string
}

// Error implements the error interface.
func (e *CorruptError) Error() string { return "corrupt transfer: " + e.Detail }

// Limiter limits sending to Rate bytes per second. Transfers that share a rate
// must use the same Limiter and must not run concurrently.
type Limiter struct {
	Clock Clock
	Rate  ident.Bytes

	// nextSend is the earliest time at which more bytes may be sent.
	nextSend time.Time
}

// Wait blocks until size more bytes may be sent. It returns the error of ctx if
// ctx ends first.
func (l *Limiter) Wait(ctx context.Context, size int) error {
	now := l.Clock.Now()
	if l.nextSend.Before(now) {
		l.nextSend = now
	}
	wait := l.nextSend.Sub(now)
	l.nextSend = l.nextSend.Add(time.Duration(float64(size) / float64(l.Rate) * float64(time.Second)))
	if wait == 0 {
		return ctx.Err()
	}
	return l.Clock.Sleep(ctx, wait)
}

// Checksum returns the checksum that the sender announces for data.
func Checksum(data []byte) uint64 { return xxhash.Sum64(data) }

// Send sends data in chunks of at most ChunkBytes, at the rate of the limiter.
func Send(ctx context.Context, stream Sender, limiter *Limiter, data []byte) error {
	for len(data) > 0 {
		size := min(len(data), ChunkBytes)
		if err := limiter.Wait(ctx, size); err != nil {
			return fmt.Errorf("wait for the rate limit: %w", err)
		}
		if err := stream.Send(&wire.TransferChunk{Data: data[:size]}); err != nil {
			return fmt.Errorf("send chunk: %w", err)
		}
		data = data[size:]
	}
	return nil
}

// Receive receives data of the announced length and checksum. It returns a
// *CorruptError if the data does not match.
func Receive(stream Receiver, length, checksum uint64) ([]byte, error) {
	data := make([]byte, 0, min(length, ChunkBytes))
	for uint64(len(data)) < length {
		chunk := new(wire.TransferChunk)
		if err := stream.Receive(chunk); err != nil {
			return nil, fmt.Errorf("receive chunk: %w", err)
		}
		if len(chunk.GetData()) == 0 || uint64(len(data)+len(chunk.GetData())) > length {
			return nil, &CorruptError{Detail: fmt.Sprintf("received a chunk of %d bytes after %d of %d bytes", len(chunk.GetData()), len(data), length)}
		}
		data = append(data, chunk.GetData()...)
	}
	if sum := Checksum(data); sum != checksum {
		return nil, &CorruptError{Detail: fmt.Sprintf("checksum %x, want %x", sum, checksum)}
	}
	return data, nil
}
