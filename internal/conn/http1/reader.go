package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"slices"
)

// readBufferBytes is the size of the buffer of a connection. It grows for a longer head.
const readBufferBytes = 4 << 10

// Reader reads responses from a connection.
type Reader struct {
	conn   io.Reader
	buffer *bufio.Reader
}

// NewReader returns a Reader of the responses on conn.
func NewReader(conn io.Reader) *Reader {
	return &Reader{conn: conn, buffer: bufio.NewReaderSize(conn, readBufferBytes)}
}

// ReadResponse reads the next response to the request, up to its body. The body of the one
// before must have been read. Errors other than those of the connection are *MalformedError.
func (r *Reader) ReadResponse(request *http.Request) (*http.Response, error) {
	if _, err := r.peekHead(); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(r.buffer, request)
	if err != nil {
		// The head is complete, so the error is of its content.
		return nil, malformed("%v", err)
	}
	return response, nil
}

// Read reads what follows a head.
func (r *Reader) Read(p []byte) (int, error) { return r.buffer.Read(p) }

// Buffered returns the number of bytes that were received and not read.
func (r *Reader) Buffered() int { return r.buffer.Buffered() }

// peekHead checks the next head, which is in the buffer after that. Malformed lines are refused
// as they arrive.
func (r *Reader) peekHead() (h head, err error) {
	for {
		data, _ := r.buffer.Peek(r.buffer.Buffered())
		complete, err := h.check(data)
		if complete || err != nil {
			return h, err
		}
		if len(data) == r.buffer.Size() {
			if err := r.grow(data); err != nil {
				return h, err
			}
		}
		if _, err := r.buffer.Peek(len(data) + 1); errors.Is(err, io.EOF) {
			return h, io.ErrUnexpectedEOF
		} else if err != nil {
			return h, err
		}
	}
}

// grow doubles the buffer, which is full of data.
func (r *Reader) grow(data []byte) error {
	if len(data) >= MaxHeadBytes {
		return malformed("status line and header of more than %d bytes", MaxHeadBytes)
	}
	buffered := bytes.NewReader(slices.Clone(data))
	r.buffer = bufio.NewReaderSize(io.MultiReader(buffered, r.conn), 2*len(data))
	return nil
}
