package gate

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"

	"cactusline.dev/cactusline/internal/version/ident"
)

const (
	// maxBufferedBytes bounds the body of a response that is buffered before the caller
	// gets any of it.
	maxBufferedBytes = 8 << 20
	// freeBufferBytes of each response are not charged to the buffer budget, so that
	// short responses never fail for want of it.
	freeBufferBytes = 64 << 10
	// minReadBytes is the least free space of a buffer before it grows.
	minReadBytes = 512
)

var (
	errResponseTooLong = fmt.Errorf("response body exceeds %d bytes", maxBufferedBytes)
	errBuffersFull     = errors.New("too many long responses are buffered")
)

// bufferBudget bounds the memory of the long responses that are buffered at one time.
type bufferBudget struct {
	max  int64
	used atomic.Int64
}

func newBufferBudget(maxBytes ident.Bytes) *bufferBudget {
	return &bufferBudget{max: int64(maxBytes)}
}

// charge takes n bytes and reports whether they are available.
func (b *bufferBudget) charge(n int) bool {
	if b.used.Add(int64(n)) <= b.max {
		return true
	}
	b.release(n)
	return false
}

// release gives n bytes back.
func (b *bufferBudget) release(n int) { b.used.Add(-int64(n)) }

// readBody reads the whole body of a target's response. The buffer is charged to the
// budget until releaseBuffers is called.
func (c *call) readBody(response *http.Response) ([]byte, error) {
	body := make([]byte, 0, initialBufferBytes(response))
	for {
		if cap(body)-len(body) < minReadBytes {
			var err error
			if body, err = c.growBuffer(body); err != nil {
				return nil, err
			}
		}
		n, err := response.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, fmt.Errorf("read response body: %w", err)
		}
	}
}

// initialBufferBytes returns the size of the buffer for a body, as far as it is free.
func initialBufferBytes(response *http.Response) int64 {
	if response.ContentLength < 0 {
		return eventBufferBytes
	}
	return min(response.ContentLength+minReadBytes, freeBufferBytes)
}

// growBuffer returns a copy of a buffer with twice its size.
func (c *call) growBuffer(body []byte) ([]byte, error) {
	if len(body) > maxBufferedBytes {
		return nil, errResponseTooLong
	}
	size := min(2*cap(body), maxBufferedBytes+2*minReadBytes)
	if size > freeBufferBytes {
		grown := size - max(cap(body), freeBufferBytes)
		if !c.gate.buffers.charge(grown) {
			return nil, errBuffersFull
		}
		c.chargedBytes += grown
	}
	return append(make([]byte, 0, size), body...), nil
}

// releaseBuffers gives back what the buffers of the request were charged.
func (c *call) releaseBuffers() {
	c.gate.buffers.release(c.chargedBytes)
	c.chargedBytes = 0
}

// drainBody reads a body to its end without keeping it, so that the connection can be
// used again.
func drainBody(response *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, freeBufferBytes+1))
	if err != nil {
		return fmt.Errorf("drain response body: %w", err)
	}
	if n > freeBufferBytes {
		return errResponseTooLong
	}
	return nil
}
