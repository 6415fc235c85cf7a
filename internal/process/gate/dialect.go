package gate

import (
	"net/http"
	"time"

	"cactusline.dev/cactusline/internal/request/place"
	"cactusline.dev/cactusline/internal/version/ident"
)

// RequestMeta is what a caller says of its request besides method, path and body.
type RequestMeta struct {
	ID ident.RequestID
	// Timeout is how long the caller waits, 0 if it does not say.
	Timeout time.Duration
	// APIKey is the caller's bearer key, empty if there is none.
	APIKey string
	// Model and Parts describe the prompt, if there is one.
	Model       string
	PromptParts []place.PartID
	// LastEventID is the last event of a stream that the caller has, empty for all.
	LastEventID string
}

// ForwardMeta is what a target is told besides what the caller sent.
type ForwardMeta struct {
	// Timeout is how long an answer is of use.
	Timeout time.Duration
	// Target is the only one that is to run the request.
	Target ident.TargetName
	// Customer is who asks, empty if nobody is known.
	Customer ident.CustomerName
	// Priority ranks the request at the target, 0 first; below 0 is unranked.
	Priority int
	// FetchFrom is the address of a target that holds more of the prompt.
	FetchFrom string
	// LastEventID is the last event of a stream that is not wanted again.
	LastEventID string
}

// ResponseMeta is what a target says of its answer.
type ResponseMeta struct {
	// RequestID is the request that the answer is to.
	RequestID ident.RequestID
	// NotRun says that the target did not and will not run the request.
	NotRun bool
}

// Dialect reads and writes the header fields in which callers, this system and
// targets talk to each other.
type Dialect interface {
	// ParseRequest reads a caller's header.
	ParseRequest(header http.Header) RequestMeta
	// ForwardHeader returns the header for a target: the caller's without the fields
	// that only this system sets, and with those of the order.
	ForwardHeader(header http.Header, order ForwardMeta) http.Header
	// ParseResponse reads a target's header.
	ParseResponse(header http.Header) ResponseMeta
	// SetRetryAfter sets when the caller may come back.
	SetRetryAfter(header http.Header, wait time.Duration)
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
