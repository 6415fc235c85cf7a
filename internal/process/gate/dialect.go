package gate

import (
	"net/http"
	"time"

	"cactusline.dev/cactusline/internal/request/place"
	"cactusline.dev/cactusline/internal/version/ident"
)

// Ask is what a caller says of its request besides method, path and body.
type Ask struct {
	ID ident.RequestID
	// Wait is how long the caller waits, 0 if it does not say.
	Wait time.Duration
	// Key is the caller's bearer key, empty if there is none.
	Key string
	// Model and Parts describe the prompt, if there is one.
	Model string
	Parts []place.PartID
	// After is the last event of a stream that the caller has, empty for all.
	After string
}

// Order is what a target is told besides what the caller sent.
type Order struct {
	// Wait is how long an answer is of use.
	Wait time.Duration
	// Target is the only one that is to run the request.
	Target ident.TargetName
	// Customer is who asks, empty if nobody is known.
	Customer ident.CustomerName
	// Urgency ranks the request at the target, 0 first; below 0 is unranked.
	Urgency int
	// Fetch is the address of a target that holds more of the prompt.
	Fetch string
	// After is the last event of a stream that is not wanted again.
	After string
}

// Word is what a target says of its answer.
type Word struct {
	// ID is the request that the answer is to.
	ID ident.RequestID
	// NotRun says that the target did not and will not run the request.
	NotRun bool
}

// Dialect reads and writes the header fields in which callers, this system and
// targets talk to each other.
type Dialect interface {
	// Ask reads a caller's header.
	Ask(header http.Header) Ask
	// Order returns the header for a target: the caller's without the fields
	// that only this system sets, and with those of the order.
	Order(header http.Header, order Order) http.Header
	// Word reads a target's header.
	Word(header http.Header) Word
	// RetryAfter sets when the caller may come back.
	RetryAfter(header http.Header, wait time.Duration)
	// ReadyPath is where the balancer asks whether this process takes callers.
	ReadyPath() string
}

// hopFields concern one connection only.
var hopFields = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// endToEnd returns a header without the fields that concern one connection.
func endToEnd(header http.Header) http.Header {
	out := header.Clone()
	for _, named := range header.Values("Connection") {
		for _, name := range splitList(named) {
			out.Del(name)
		}
	}
	for _, name := range hopFields {
		delete(out, name)
	}
	return out
}
