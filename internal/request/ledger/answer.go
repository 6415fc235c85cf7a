package ledger

import (
	"google.golang.org/protobuf/proto"

	"cactusline.dev/cactusline/internal/version/cmdpb"
	"cactusline.dev/cactusline/internal/version/ident"
)

// maxHeaderBytes bounds the recorded header fields of one answer.
const maxHeaderBytes = 4 << 10

// encodeAnswer encodes an answer, which may be nil. The body is cut to limit
// bytes and the header fields to maxHeaderBytes.
func encodeAnswer(a *Answer, limit ident.Bytes) []byte {
	if a == nil {
		a = &Answer{}
	}
	out := AnswerToProto(a)
	if ident.Bytes(len(out.GetBody())) > limit {
		out.Body = out.GetBody()[:limit]
		out.Truncated = true
	}
	size := 0
	for i, header := range out.GetHeaders() {
		size += len(header.GetName()) + len(header.GetValue())
		if size > maxHeaderBytes {
			out.Headers = out.GetHeaders()[:i]
			out.Truncated = true
			break
		}
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(out)
	if err != nil {
		// Encoding fails only for text that is not valid UTF-8, which only
		// header fields can hold. Encode the answer without them.
		out.Headers, out.Truncated = nil, true
		data, _ = proto.MarshalOptions{Deterministic: true}.Marshal(out)
	}
	return data
}

// decodeAnswer decodes the result of encodeAnswer. It returns nil for invalid
// data.
func decodeAnswer(data []byte) *Answer {
	var in cmdpb.Answer
	if err := proto.Unmarshal(data, &in); err != nil {
		return nil
	}
	return AnswerFromProto(&in)
}

// AnswerToProto converts an answer, which may be nil, to its protobuf message.
func AnswerToProto(a *Answer) *cmdpb.Answer {
	if a == nil {
		return nil
	}
	out := &cmdpb.Answer{Status: int32(a.Status), Body: a.Body, Truncated: a.Truncated}
	for _, header := range a.Headers {
		out.Headers = append(out.Headers, &cmdpb.HeaderField{Name: header.Name, Value: header.Value})
	}
	return out
}

// AnswerFromProto converts a protobuf message, which may be nil, to an answer.
func AnswerFromProto(in *cmdpb.Answer) *Answer {
	if in == nil {
		return nil
	}
	out := &Answer{Status: int(in.GetStatus()), Body: in.GetBody(), Truncated: in.GetTruncated()}
	for _, header := range in.GetHeaders() {
		out.Headers = append(out.Headers, Header{Name: header.GetName(), Value: header.GetValue()})
	}
	return out
}
