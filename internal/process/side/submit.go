package side

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"cactusline.dev/cactusline/internal/conn/link"
	"cactusline.dev/cactusline/internal/conn/wire"
)

const answerChunkBytes = 32 << 10

// serveSubmit runs one attempt at the target and relays its answer.
func (s *Sidecar) serveSubmit(ctx context.Context, call *wire.Call, submit *wire.Submit, stream *link.Stream) {
	s.running.Add(1)
	defer s.running.Add(-1)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go awaitCancel(stream, cancel)
	answer := &answer{stream: stream, attempt: submit.GetAttempt()}
	resp, err := s.target.do(ctx, submit, call.GetTraceParent())
	if notSent(err) {
		_ = answer.refuse(&wire.Refusal{
			Reason: wire.RefusalReason_REFUSAL_REASON_TARGET_DOWN,
			Detail: err.Error(),
			Load:   s.load(),
		})
		return
	}
	if err != nil {
		_ = answer.end(&wire.End{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Error: err.Error(), TargetCrashed: crashed(ctx, err)})
		return
	}
	defer func() { _ = resp.Body.Close() }()
	s.relay(ctx, resp, answer)
}

// relay copies the target's answer to the router.
func (s *Sidecar) relay(ctx context.Context, resp *http.Response, answer *answer) {
	if err := answer.head(resp, s.load()); err != nil {
		return
	}
	buffer := make([]byte, answerChunkBytes)
	for {
		n, err := resp.Body.Read(buffer)
		if n > 0 {
			if sendErr := answer.data(buffer[:n]); sendErr != nil {
				return
			}
		}
		if errors.Is(err, io.EOF) {
			_ = answer.end(&wire.End{Outcome: wire.Outcome_OUTCOME_RAN, Load: s.load()})
			return
		}
		if err != nil {
			_ = answer.end(&wire.End{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Error: err.Error(), TargetCrashed: crashed(ctx, err)})
			return
		}
	}
}

// awaitCancel ends the attempt once the router says that its caller has gone
// or the link breaks.
func awaitCancel(stream *link.Stream, cancel context.CancelFunc) {
	_ = stream.Receive(new(wire.Cancel))
	cancel()
}

// answer writes the replies of one attempt in order.
type answer struct {
	stream  *link.Stream
	attempt string
	offset  uint64
}

func (a *answer) refuse(refusal *wire.Refusal) error {
	return a.send(&wire.Reply{Body: &wire.Reply_Refusal{Refusal: refusal}})
}

func (a *answer) head(resp *http.Response, load *wire.Load) error {
	head := &wire.Head{Status: int32(resp.StatusCode), Load: load}
	for name, values := range resp.Header {
		for _, value := range values {
			head.Headers = append(head.Headers, &wire.Header{Name: name, Value: value})
		}
	}
	return a.send(&wire.Reply{Body: &wire.Reply_Head{Head: head}})
}

func (a *answer) data(data []byte) error {
	if err := a.send(&wire.Reply{Body: &wire.Reply_Data{Data: data}}); err != nil {
		return err
	}
	a.offset += uint64(len(data))
	return nil
}

func (a *answer) end(end *wire.End) error {
	end.Length = a.offset
	return a.send(&wire.Reply{Body: &wire.Reply_End{End: end}})
}

func (a *answer) send(reply *wire.Reply) error {
	reply.Attempt = a.attempt
	reply.Offset = a.offset
	if err := a.stream.Send(reply); err != nil {
		return fmt.Errorf("answer attempt %s: %w", a.attempt, err)
	}
	return nil
}
