package chat

import "cactusline.dev/cactusline/internal/version/ident"

// Values of the object and finish_reason fields.
const (
	ObjectResponse = "chat.completion"
	ObjectChunk    = "chat.completion.chunk"
	FinishStop     = "stop"
	FinishLength   = "length"
)

// Framing of a stream of server-sent events.
const (
	// EventPrefix precedes the JSON of each chunk.
	EventPrefix = "data: "
	// EventEnd terminates each event.
	EventEnd = "\n\n"
	// DoneEvent is the last event of a complete stream.
	DoneEvent = "data: [DONE]\n\n"
)

// Response is an answer that is not streamed.
type Response struct {
	ID      string          `json:"id"`
	Object  string          `json:"object"`
	Created int64           `json:"created"`
	Model   ident.ModelName `json:"model"`
	Choices []Choice        `json:"choices"`
	Usage   Usage           `json:"usage"`
}

// Choice is one completion of a Response.
type Choice struct {
	Index        int     `json:"index"`
	Message      Message `json:"message"`
	FinishReason string  `json:"finish_reason"`
}

// Usage holds the token counts of a request.
type Usage struct {
	PromptTokens        ident.Tokens        `json:"prompt_tokens"`
	CompletionTokens    ident.Tokens        `json:"completion_tokens"`
	TotalTokens         ident.Tokens        `json:"total_tokens"`
	PromptTokensDetails PromptTokensDetails `json:"prompt_tokens_details"`
}

// PromptTokensDetails holds the number of prompt tokens found in the cache.
type PromptTokensDetails struct {
	CachedTokens ident.Tokens `json:"cached_tokens"`
}

// Chunk is one event of a streamed answer.
type Chunk struct {
	ID      string          `json:"id"`
	Object  string          `json:"object"`
	Created int64           `json:"created"`
	Model   ident.ModelName `json:"model"`
	Choices []ChunkChoice   `json:"choices"`
	Usage   *Usage          `json:"usage,omitempty"`
}

// ChunkChoice is the part of one completion in a Chunk.
type ChunkChoice struct {
	Index        int     `json:"index"`
	Delta        Delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// Delta is the text that a Chunk appends to a message.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// ModelList is the response of GET /v1/models.
type ModelList struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}

// Model is one entry of a ModelList.
type Model struct {
	ID     ident.ModelName `json:"id"`
	Object string          `json:"object"`
}
