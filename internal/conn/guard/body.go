package guard

import (
	"errors"
	"io"
	"net/http"
)

const (
	// minPieceBytes and maxPieceBytes bound the pieces in which a body is held.
	minPieceBytes = 4 << 10
	maxPieceBytes = 64 << 10
)

// Body is a body that is held in pieces, so that it need not be copied while it grows.
type Body [][]byte

// Len returns the length of the body.
func (b Body) Len() int {
	length := 0
	for _, piece := range b {
		length += len(piece)
	}
	return length
}

// ReadBody reads a body to its end, and marks the request as complete. Each piece is
// charged before it is held. length is the length that the request names, or negative.
// The request must not run if there is an error, which wraps that of the body, ErrFull or
// ErrGaveWay.
func (c *Conn) ReadBody(body io.Reader, length int64) (Body, error) {
	if err := c.BeginBody(); err != nil {
		return nil, err
	}
	var pieces Body
	size := int64(minPieceBytes)
	for remaining := length; ; {
		piece, err := c.newPiece(size, remaining)
		if err != nil {
			return nil, err
		}
		n, err := readPiece(body, piece)
		if n > 0 {
			pieces = append(pieces, piece[:n])
		}
		if errors.Is(err, io.EOF) {
			return pieces, c.BeginRun()
		}
		if err != nil {
			return nil, c.gaveWayOr(err)
		}
		remaining -= int64(n)
		size = min(2*size, maxPieceBytes)
	}
}

// gaveWayOr returns the error of a read, joined with ErrGaveWay if the read failed since
// the connection was told to give way.
func (c *Conn) gaveWayOr(err error) error {
	if c == nil {
		return err
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if c.leaving {
		return errors.Join(ErrGaveWay, err)
	}
	return err
}

// newPiece returns a piece, of the remaining length and one byte at most, which shows
// the end of the body.
func (c *Conn) newPiece(size, remaining int64) ([]byte, error) {
	if remaining >= 0 {
		size = min(size, remaining+1)
	}
	if c != nil {
		if err := c.budget.chargeRequest(c, size); err != nil {
			return nil, err
		}
	}
	return make([]byte, size), nil
}

// readPiece reads until the piece is full, or the body has ended or failed.
func readPiece(body io.Reader, piece []byte) (int, error) {
	length := 0
	for length < len(piece) {
		n, err := body.Read(piece[length:])
		length += n
		if err != nil {
			return length, err
		}
	}
	return length, nil
}

// Join returns the body in one piece, which is charged as well.
func (c *Conn) Join(body Body) ([]byte, error) {
	if len(body) == 1 {
		return body[0], nil
	}
	length := body.Len()
	if c != nil {
		if err := c.budget.chargeRequest(c, int64(length)); err != nil {
			return nil, err
		}
	}
	joined := make([]byte, 0, length)
	for _, piece := range body {
		joined = append(joined, piece...)
	}
	return joined, nil
}

// ReadAll reads a body into one piece. Errors are as of ReadBody.
func (c *Conn) ReadAll(body io.Reader, length int64) ([]byte, error) {
	pieces, err := c.ReadBody(body, length)
	if err != nil {
		return nil, err
	}
	return c.Join(pieces)
}

// Handler returns a handler that serves requests of guarded connections. One that has
// been told to give way is refused.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := FromContext(r.Context())
		defer c.EndRequest()
		if c.BeginRun() != nil {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusRequestTimeout)
			return
		}
		next.ServeHTTP(w, r)
	})
}
