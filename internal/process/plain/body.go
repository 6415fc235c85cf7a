package plain

import (
	"fmt"
	"io"
	"net/http"
)

// readBody reads the body of a request, up to bodyLimit.
func readBody(x exchange) (string, error) {
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, bodyLimit))
	if err != nil {
		return "", fmt.Errorf("read body: %w", err)
	}
	return string(body), nil
}
