package ctrl

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/request/origin"
	"cactusline.dev/cactusline/internal/version/ident"
)

// QueryOrigin asks where a stream began. Query.Argument is a wire.OriginQuestion and the
// result a wire.OriginAnswer.
const QueryOrigin = "stream origin"

const (
	// maxStreams bounds the streams of one retention whose origins are kept.
	maxStreams = 256 << 10
	// heldTimeout bounds the question to the other control processes whether they hold
	// the origin of a stream.
	heldTimeout = 80 * time.Millisecond
)

// OriginLog keeps the origins of streams over a loss of power.
type OriginLog interface {
	Append(origins []*wire.StreamOrigins)
}

// RecordOrigins records where streams began.
func (c *Control) RecordOrigins(origins []*wire.StreamOrigins) {
	now := c.cfg.Clock.Now()
	for _, streams := range origins {
		began := origin.Origin{Service: ident.ServiceName(streams.GetService()), Version: ident.SoftwareVersion(streams.GetVersion())}
		for _, key := range streams.GetStreams() {
			c.origins.Record(now, origin.StreamKey(key), began)
		}
	}
}

// recordReport records where streams began that a gate reports.
func (c *Control) recordReport(report *wire.Watch) {
	if len(report.GetStreams()) == 0 {
		return
	}
	c.RecordOrigins(report.GetStreams())
	if c.cfg.OriginLog != nil {
		c.cfg.OriginLog.Append(report.GetStreams())
	}
}

// answerOrigin answers where a stream began. An origin never changes, so any process that
// holds it may say so. Only the leader, to which all gates report, may say that it is not
// known; it then names all versions that are possible, once a quorum has confirmed that it
// still leads.
func (c *Control) answerOrigin(ctx context.Context, argument []byte) *wire.QueryReply {
	question := new(wire.OriginQuestion)
	if err := proto.Unmarshal(argument, question); err != nil {
		return &wire.QueryReply{Error: err.Error()}
	}
	answer := c.heldOrigin(question)
	if answer.GetKnown() || question.GetHeld() {
		return encodeOriginAnswer(answer)
	}
	term, leads, leader := c.leadership()
	if !leads {
		return &wire.QueryReply{Error: "not the leader", Leader: leader, Retry: true}
	}
	if question.GetStream() != 0 {
		if held := c.askHeldOrigin(ctx, question); held != nil {
			return encodeOriginAnswer(held)
		}
	}
	if !c.confirmLeadership(ctx, term) {
		return &wire.QueryReply{Error: "leadership was not confirmed by a quorum", Retry: true}
	}
	answer.Possible = c.possibleSoftware(term, ident.ServiceName(question.GetService()))
	return encodeOriginAnswer(answer)
}

func encodeOriginAnswer(answer *wire.OriginAnswer) *wire.QueryReply {
	result, err := proto.Marshal(answer)
	if err != nil {
		return &wire.QueryReply{Error: err.Error()}
	}
	return &wire.QueryReply{Result: result}
}

// heldOrigin answers a question by what this process holds.
func (c *Control) heldOrigin(question *wire.OriginQuestion) *wire.OriginAnswer {
	if question.GetStream() == 0 {
		return &wire.OriginAnswer{}
	}
	began, found := c.origins.Lookup(c.cfg.Clock.Now(), origin.StreamKey(question.GetStream()))
	return &wire.OriginAnswer{Known: found, Service: string(began.Service), Version: string(began.Version)}
}

// askHeldOrigin asks the other control processes, one of which may have led before. It
// returns nil if none holds the origin.
func (c *Control) askHeldOrigin(ctx context.Context, question *wire.OriginQuestion) *wire.OriginAnswer {
	if c.cfg.Group == nil || c.cfg.Link == nil {
		return nil
	}
	argument, err := proto.Marshal(&wire.OriginQuestion{Service: question.GetService(), Stream: question.GetStream(), Held: true})
	if err != nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, heldTimeout)
	defer cancel()
	status := c.cfg.Group.Status()
	answers := make(chan *wire.OriginAnswer, len(status.Members))
	var asked sync.WaitGroup
	for _, member := range status.Members {
		if member.ID == status.ID {
			continue
		}
		asked.Go(func() {
			reply, answer := new(wire.QueryReply), new(wire.OriginAnswer)
			call := &wire.Call{Body: &wire.Call_Query{Query: &wire.Query{Kind: QueryOrigin, Argument: argument}}}
			// A process that does not answer holds nothing that could be used.
			if c.cfg.Link.Ask(ctx, member.Address, call, reply) == nil && proto.Unmarshal(reply.GetResult(), answer) == nil && answer.GetKnown() {
				answers <- answer
			}
		})
	}
	go func() {
		asked.Wait()
		close(answers)
	}()
	return <-answers
}
