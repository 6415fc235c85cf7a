package http1_test

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/conn/http1"
)

// refusalLimit bounds the time until a malformed line is refused.
const refusalLimit = 200 * time.Millisecond

var errNotRefused = errors.New("not refused in time")

var request = &http.Request{Method: http.MethodPost}

// readAll reads responses until an error, with their bodies.
func readAll(read func() (*http.Response, error)) (texts []string, err error) {
	for {
		response, err := read()
		if err != nil {
			return texts, err
		}
		body, err := io.ReadAll(response.Body)
		if err = errors.Join(err, response.Body.Close()); err != nil {
			return texts, err
		}
		texts = append(texts, response.Status+" "+response.Header.Get("Field")+" "+string(body))
	}
}

// soundResponses is a sequence of responses on one connection.
var soundResponses = strings.Join([]string{
	"HTTP/1.1 103 Early Hints\r\nField: interim\r\n\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nField:none\r\n\r\nbody",
	"HTTP/1.1 204\r\n\r\n",
	"HTTP/1.1 404 \r\ncontent-length:\t0 \r\nField: \r\n\r\n",
	"HTTP/1.1 503 Zu viel für heute\r\nField: a\tb, für c\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 200 OK\nField: only newlines\nContent-Length: 1\n\nx",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nTrailer: t\r\n\r\n",
	"HTTP/1.1 200 OK\r\nField: " + strings.Repeat("long ", 8<<10) + "\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1 599 Odd\r\n!#$%&'*+-.^_`|~09azAZ: token\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.0 200 OK\r\nField: until close\r\n\r\nrest of the connection",
}, "")

// Sound responses are read as net/http reads them, in whatever pieces they arrive.
func TestSoundResponsesAreRead(t *testing.T) {
	expected := bufio.NewReader(strings.NewReader(soundResponses))
	want, _ := readAll(func() (*http.Response, error) { return http.ReadResponse(expected, request) })
	assert.Equal(t, len(want), 10)
	for name, wrap := range map[string]func(io.Reader) io.Reader{
		"whole": func(r io.Reader) io.Reader { return r }, "bytes": iotest.OneByteReader, "halves": iotest.HalfReader, "data with its end": iotest.DataErrReader,
	} {
		t.Run(name, func(t *testing.T) {
			reader := http1.NewReader(wrap(strings.NewReader(soundResponses)))
			got, err := readAll(func() (*http.Response, error) { return reader.ReadResponse(request) })
			assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
			assert.DeepEqual(t, got, want)
		})
	}
}

// A malformed line is refused when it arrives, and not only once the head is complete.
func TestMalformedHeadIsRefusedAtOnce(t *testing.T) {
	for _, start := range []string{
		"garbage\n", "\r\n", "HTTP/1.1\r\n", "HTTP/1.1 \r\n", "HTTP/2.0 200 OK\r\n", "HTTP/1.x 200 OK\r\n", "http/1.1 200 OK\r\n", "HTTP/1.1\t200 OK\r\n",
		"HTTP/1.1  200 OK\r\n", "HTTP/1.1 2000\r\n", "HTTP/1.1 20 \r\n", "HTTP/1.1 000 OK\r\n", "HTTP/1.1 099 OK\r\n", "HTTP/1.1 600 OK\r\n", "HTTP/1.1 101 OK\r\n", "HTTP/1.1 200 O\x00K\r\n",
	} {
		checkRefused(t, start)
	}
}

// checkRefused checks that a head is refused at its start, while the connection stays open.
func checkRefused(t *testing.T, start string) {
	t.Helper()
	arrived, sent := io.Pipe()
	defer time.AfterFunc(refusalLimit, func() { _ = sent.CloseWithError(errNotRefused) }).Stop()
	go func() { _, _ = io.WriteString(sent, start) }()
	_, err := http1.NewReader(arrived).ReadResponse(request) //nolint:bodyclose // it has no body
	assert.Check(t, http1.IsMalformed(err), "%q: %v", start, err)
}

func TestLongHeadIsRefused(t *testing.T) {
	endless := io.MultiReader(strings.NewReader("HTTP/1.1 200 OK\r\n"), strings.NewReader(strings.Repeat("Field: value\r\n", http1.MaxHeadBytes)))
	_, err := http1.NewReader(endless).ReadResponse(request) //nolint:bodyclose // it has no body
	assert.Assert(t, http1.IsMalformed(err), "%v", err)
}

// Whatever is accepted is read as net/http reads it, and has a status and no field that could
// be taken for another.
func FuzzReadResponse(f *testing.F) {
	f.Add([]byte(soundResponses))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length : 1\r\n\r\n12"))
	f.Fuzz(func(t *testing.T, data []byte) {
		text := string(data)
		response, err := http1.NewReader(strings.NewReader(text)).ReadResponse(request) //nolint:bodyclose // nothing is behind it
		if err != nil {
			return
		}
		want, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), request) //nolint:bodyclose // nothing is behind it
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, want.StatusCode)
		assert.DeepEqual(t, response.Header, want.Header)
		assert.Assert(t, response.StatusCode >= 100 && response.StatusCode <= 599)
		for name := range response.Header {
			assert.Assert(t, name != "" && !strings.ContainsAny(name, " \t\r\n\x00"), "%q", name)
		}
	})
}

// A line of the header that readers may take for different fields is refused when it arrives.
func TestMalformedFieldIsRefusedAtOnce(t *testing.T) {
	for _, line := range []string{
		"Field : 1", "Field\t: 1", " Field: 1", "\tField: 1", "Fi eld: 1", "Fi\x00eld: 1", "Fi\x1feld: 1", "Fi\x7feld: 1", "Field\r: 1", "Fi\xc3\xa9ld: 1",
		": 1", "Field", "(Field): 1", " ", "\r", "Field: a\x00b", "Field: a\rb", "Field: a\x7fb",
	} {
		checkRefused(t, "HTTP/1.1 200 OK\r\nFirst: 1\r\n"+line+"\r\n")
		checkRefused(t, "HTTP/1.1 200 OK\r\n"+line+"\r\n")
	}
}

// A body whose length is stated in two ways is refused.
func TestAmbiguousLengthIsRefused(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\ntransfer-encoding: chunked\r\n\r\n",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked, chunked\r\n\r\n",
	} {
		checkRefused(t, head)
	}
}
