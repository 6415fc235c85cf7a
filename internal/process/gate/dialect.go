package gate

import (
	"net/http"
	"time"

	"cactusline.dev/cactusline/internal/request/place"
	"cactusline.dev/cactusline/internal/version/ident"
)

// RequestMeta holds what the header of a caller's request says.
type RequestMeta struct {
	ID ident.RequestID
	// Timeout is how long the caller waits, 0 if the header does not say.
	Timeout time.Duration
	// APIKey is the caller's bearer key, empty if there is none.
	APIKey string
	// Model and PromptParts describe the prompt, if there is one.
	Model       string
	PromptParts []ident.PartID
	// PromptTokens and OutputTokens are the size of the prompt and the most tokens that may
	// be generated, 0 if the header does not say. PartTokens are the sizes of PromptParts.
	PromptTokens, OutputTokens ident.Tokens
	PartTokens                 []ident.Tokens
	// LastEventID is the ID of the last event of a stream that the caller has, empty
	// if it has none.
	LastEventID string
	// Resumes is the ID of the request that brought the first event of the stream that
	// this one takes up, empty for a new stream.
	Resumes ident.RequestID
}

// ForwardMeta holds what the header of a forwarded request tells the target in
// addition to the caller's fields.
type ForwardMeta struct {
	// Timeout is the time left until the deadline of the request.
	Timeout time.Duration
	// Target is the only target that may run the request.
	Target ident.TargetName
	// Customer is the customer that sent the request, empty if unknown.
	Customer ident.CustomerName
	// Priority is the priority at the target, 0 the highest. It is negative if the
	// request has none.
	Priority int
	// FetchFrom is the address of a target that has cached more of the prompt, empty
	// if there is none.
	FetchFrom string
	// LastEventID is the ID of the event after which a stream continues, empty for
	// the whole stream.
	LastEventID string
}

// ResponseMeta holds what the header of a target's response says.
type ResponseMeta struct {
	// RequestID is the ID of the request that the target responds to.
	RequestID ident.RequestID
	// NotRun is set if the target did not and will not run the request.
	NotRun bool
	// Notice is what the target says of itself.
	Notice TargetNotice
}

// TargetNotice is what a target says of itself in a response.
type TargetNotice struct {
	// RateLimit is the rate that the target accepts from all callers together.
	RateLimit RateLimit
	// Leaving is set if the target is about to stop.
	Leaving bool
	// Pause is how long a target that turns a request away wants no more of this process.
	Pause Pause
	// Cold is how long the target can't handle its usual load.
	Cold Coldness
	// Load is what the target says of its load.
	Load ServerLoad
}

// Coldness is what a response says of how long its target is cold.
type Coldness struct {
	// Named is set if the response says so.
	Named bool
	// For is 0 for a target that is warm.
	For time.Duration
}

// ServerLoad is what a response says of the load of its target. The zero value says
// nothing.
type ServerLoad struct {
	place.ServerLoad
	// Named is set if the response says something.
	Named bool
	// Invalid is the start of the text of a load that cannot be used.
	Invalid string
}

// Pause is what a response says of a pause. The zero value asks for none.
type Pause struct {
	For time.Duration
	// Invalid is the start of the text of a pause that cannot be used.
	Invalid string
}

// RateLimit is what a response says of the rate that its target accepts.
type RateLimit struct {
	// Named is set if the response names a limit.
	Named bool
	// Rate is the limit. It is valid if Invalid is empty.
	Rate ident.Rate
	// Invalid is the start of the text of a limit that cannot be used.
	Invalid string
}

// Dialect reads and writes the header fields that the platform defines between
// callers, this process and targets. It also defines the path of readiness checks.
type Dialect interface {
	// ParseRequest reads the header of a caller's request.
	ParseRequest(header http.Header) RequestMeta
	// ForwardHeader returns the header of a forwarded request: the given header of
	// the caller, without the fields that only this system may set, and with those
	// for meta. It may modify the given header.
	ForwardHeader(header http.Header, meta ForwardMeta) http.Header
	// ParseResponse reads the header of a target's response.
	ParseResponse(header http.Header) ResponseMeta
	// SetRetryAfter sets the time after which the caller may retry.
	SetRetryAfter(header http.Header, wait time.Duration)
	// ReadyPath returns the path of the load balancer's readiness check.
	ReadyPath() string
}

// unforwardedFields are the header fields that are not forwarded: hop-by-hop fields,
// and those that are set anew for each connection.
var unforwardedFields = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// endToEndHeader returns a copy of a header without the fields that concern one
// connection only.
func endToEndHeader(header http.Header) http.Header {
	out := header.Clone()
	for _, list := range header.Values("Connection") {
		for _, name := range splitList(list) {
			out.Del(name)
		}
	}
	for _, name := range unforwardedFields {
		delete(out, name)
	}
	return out
}
