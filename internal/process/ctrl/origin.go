package ctrl

import (
	"google.golang.org/protobuf/proto"

	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/request/origin"
	"cactusline.dev/cactusline/internal/version/ident"
)

// QueryOrigin asks where a stream began. Query.Argument is a wire.StreamOrigins with the
// stream. The result is one with the service and version, or without streams if they are
// not known.
const QueryOrigin = "stream origin"

// maxStreams bounds the streams of one retention whose origins are kept.
const maxStreams = 256 << 10

// recordOrigins records where streams began that a gate reports.
func (c *Control) recordOrigins(report *wire.Watch) {
	now := c.cfg.Clock.Now()
	for _, streams := range report.GetStreams() {
		began := origin.Origin{Service: ident.ServiceName(streams.GetService()), Version: ident.SoftwareVersion(streams.GetVersion())}
		for _, key := range streams.GetStreams() {
			c.origins.Record(now, origin.StreamKey(key), began)
		}
	}
}

// answerOrigin answers where a stream began. An origin never changes, so any process that
// knows it may say so; only the leader, to which all gates report, may say that it is not
// known.
func (c *Control) answerOrigin(argument []byte) *wire.QueryReply {
	asked := new(wire.StreamOrigins)
	if err := proto.Unmarshal(argument, asked); err != nil {
		return &wire.QueryReply{Error: err.Error()}
	}
	if len(asked.GetStreams()) != 1 {
		return &wire.QueryReply{Error: "a question is about one stream"}
	}
	answer := new(wire.StreamOrigins)
	began, found := c.origins.Lookup(c.cfg.Clock.Now(), origin.StreamKey(asked.GetStreams()[0]))
	if found {
		answer.Service, answer.Version, answer.Streams = string(began.Service), string(began.Version), asked.GetStreams()
	} else if _, leads, leader := c.leadership(); !leads {
		return &wire.QueryReply{Error: "not the leader", Leader: leader, Retry: true}
	}
	result, err := proto.Marshal(answer)
	if err != nil {
		return &wire.QueryReply{Error: err.Error()}
	}
	return &wire.QueryReply{Result: result}
}
