// Package bulk carries a large piece of data over a stream in chunks, at a
// limited rate. The receiver gets all of it, unchanged, or an error.
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

// ChunkBytes is the size of one chunk.
const ChunkBytes = 64 << 10

// Clock is what the package needs of a clock.
type Clock interface {
	Now() time.Time
	Sleep(ctx context.Context, d time.Duration) error
}

// Sender is the sending side of a stream.
type Sender interface {
	Send(m proto.Message) error
}

// Receiver is the receiving side of a stream.
type Receiver interface {
	Receive(m proto.Message) error
}

// DamagedError says that the data is not what was announced.
type DamagedError struct {
	Detail string
}

// Error implements error.
func (e *DamagedError) Error() string { return "transfer is damaged: " + e.Detail }

// Limiter spaces what is sent so that it keeps to Rate bytes a second. One Limiter
// is shared by all that the rate limits, one after the other.
type Limiter struct {
	Clock Clock
	Rate  ident.Bytes

	next time.Time
}

// Wait returns once size more bytes may be sent, or with ctx's error.
func (p *Limiter) Wait(ctx context.Context, size int) error {
	now := p.Clock.Now()
	if p.next.Before(now) {
		p.next = now
	}
	wait := p.next.Sub(now)
	p.next = p.next.Add(time.Duration(float64(size) / float64(p.Rate) * float64(time.Second)))
	if wait == 0 {
		return ctx.Err()
	}
	return p.Clock.Sleep(ctx, wait)
}

// Checksum returns the checksum under which data is announced.
func Checksum(data []byte) uint64 { return xxhash.Sum64(data) }

// Send sends data in chunks.
func Send(ctx context.Context, stream Sender, pace *Limiter, data []byte) error {
	for len(data) > 0 {
		size := min(len(data), ChunkBytes)
		if err := pace.Wait(ctx, size); err != nil {
			return fmt.Errorf("wait to send: %w", err)
		}
		if err := stream.Send(&wire.TransferChunk{Data: data[:size]}); err != nil {
			return fmt.Errorf("send chunk: %w", err)
		}
		data = data[size:]
	}
	return nil
}

// Receive receives the data of the length and checksum that were announced. A
// *DamagedError says that something else came.
func Receive(stream Receiver, length, checksum uint64) ([]byte, error) {
	data := make([]byte, 0, min(length, ChunkBytes))
	for uint64(len(data)) < length {
		chunk := new(wire.TransferChunk)
		if err := stream.Receive(chunk); err != nil {
			return nil, fmt.Errorf("receive chunk: %w", err)
		}
		if len(chunk.GetData()) == 0 || uint64(len(data)+len(chunk.GetData())) > length {
			return nil, &DamagedError{Detail: fmt.Sprintf("chunk of %d bytes after %d of %d", len(chunk.GetData()), len(data), length)}
		}
		data = append(data, chunk.GetData()...)
	}
	if sum := Checksum(data); sum != checksum {
		return nil, &DamagedError{Detail: fmt.Sprintf("checksum %x, not %x", sum, checksum)}
	}
	return data, nil
}
