package lab

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// Request is a request of a consumer.
type Request struct {
	Method  string
	Host    string
	Path    string
	Timeout time.Duration
	Body    []byte
	// Header holds further fields.
	Header map[string]string
}

// Answer is what a consumer got.
type Answer struct {
	ID string
	// Status is 0 if no answer came.
	Status int
	Stamp  string
	Body   string
	// Err is set if the answer did not come to its end.
	Err error
}

// Complete reports whether the answer came to its end.
func (a *Answer) Complete() bool { return a.Status != 0 && a.Err == nil }

// EventIDs returns the IDs of the events of a stream.
func (a *Answer) EventIDs() []string {
	var ids []string
	for line := range strings.Lines(a.Body) {
		if id, found := strings.CutPrefix(line, "id: "); found {
			ids = append(ids, strings.TrimSpace(id))
		}
	}
	return ids
}

var lastRequest atomic.Int64

// Send sends a request to a machine on a new channel and reads the answer.
func (f *Fleet) Send(m *Machine, r Request) Answer {
	answer := Answer{ID: fmt.Sprintf("q%06d", lastRequest.Add(1))}
	ctx, cancel := context.WithTimeout(context.Background(), r.Timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, r.Method, "http://"+f.Front(m)+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		answer.Err = err
		return answer
	}
	request.Host = r.Host
	request.Close = true
	request.Header.Set(headerRequestID, answer.ID)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(r.Timeout.Milliseconds(), 10))
	for name, value := range r.Header {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		answer.Err = err
	} else {
		answer.Status, answer.Stamp = response.StatusCode, response.Header.Get(headerStamp)
		var body []byte
		body, answer.Err = io.ReadAll(response.Body)
		answer.Body = string(body)
		_ = response.Body.Close()
	}
	f.Record.Logf("consumer: %s %s at %s, %d bytes: status %d, error %v", answer.ID, r.Path, m.Name, len(r.Body), answer.Status, answer.Err)
	return answer
}

// AwaitReady waits until machines answer readiness checks with 200.
func (f *Fleet) AwaitReady(patience time.Duration, machines ...*Machine) error {
	const pause = 100 * time.Millisecond
	deadline := time.Now().Add(patience)
	for _, m := range machines {
		for !f.IsReady(m) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready within %v", m.Name, patience)
			}
			time.Sleep(pause)
		}
	}
	return nil
}

// IsReady asks a machine whether it is ready, as the platform does.
func (f *Fleet) IsReady(m *Machine) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.Ready(m)+"/cactusline/readyz", http.NoBody)
	if err != nil {
		return false
	}
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
