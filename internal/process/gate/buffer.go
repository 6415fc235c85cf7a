package gate

import (
	"errors"
	"fmt"
	"io"
	"net/http"
)

const (
	// maxBufferedBytes bounds the body of a response that is buffered before the caller
	// gets any of it.
	maxBufferedBytes = 8 << 20
	// firstBufferBytes is the size of a buffer before it grows.
	firstBufferBytes = 4 << 10
	// maxDrainedBytes bounds a body that is read and not kept.
	maxDrainedBytes = 64 << 10
	// minReadBytes is the least free space of a buffer before it grows.
	minReadBytes = 512
)

var errResponseTooLong = fmt.Errorf("response body exceeds %d bytes", maxBufferedBytes)

// readBody reads the whole body of a target's response. The buffer is charged to the
// caller's connection until the request ends.
func (c *call) readBody(response *http.Response) ([]byte, error) {
	limit := maxBufferedBytes + 2*minReadBytes
	if response.ContentLength >= 0 {
		limit = int(min(int64(limit), response.ContentLength+minReadBytes))
	}
	body, err := c.growBuffer(nil, min(limit, firstBufferBytes))
	if err != nil {
		return nil, err
	}
	for {
		if cap(body)-len(body) < minReadBytes && cap(body) < limit {
			if body, err = c.growBuffer(body, min(2*cap(body), limit)); err != nil {
				return nil, err
			}
		}
		if len(body) > maxBufferedBytes {
			return nil, c.dropBuffer(body, errResponseTooLong)
		}
		n, err := response.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, c.dropBuffer(body, fmt.Errorf("read response body: %w", err))
		}
	}
}

// growBuffer returns a copy of a buffer with the given size, which is charged before, and
// gives back the old one.
func (c *call) growBuffer(buffer []byte, size int) ([]byte, error) {
	if err := c.account.ChargeResponse(size); err != nil {
		return nil, c.dropBuffer(buffer, fmt.Errorf("buffer response: %w", err))
	}
	grown := append(make([]byte, 0, size), buffer...)
	c.account.ReleaseResponse(cap(buffer))
	return grown, nil
}

// dropBuffer gives back a buffer and returns err.
func (c *call) dropBuffer(buffer []byte, err error) error {
	c.account.ReleaseResponse(cap(buffer))
	return err
}

// drainBody reads a body to its end without keeping it, so that the connection can be
// used again.
func drainBody(response *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxDrainedBytes+1))
	if err != nil {
		return fmt.Errorf("drain response body: %w", err)
	}
	if n > maxDrainedBytes {
		return errResponseTooLong
	}
	return nil
}
