package store

import (
	"bytes"
	"crypto/sha256"
	"time"

	"google.golang.org/protobuf/proto"

	"cactusline.dev/cactusline/internal/version/cmdpb"
)

// Bounds of the remembered answers.
const (
	answerKept     = 7 * 24 * time.Hour
	maxAnswers     = 4096
	maxAnswerBytes = 4 << 20
)

// answers remembers what each change id was answered, oldest first.
type answers struct {
	byChange map[string]*cmdpb.ChangeAnswer
	order    []*cmdpb.ChangeAnswer
	size     int
}

func newAnswers() *answers {
	return &answers{byChange: make(map[string]*cmdpb.ChangeAnswer)}
}

// add remembers an answer and forgets the oldest above the bounds.
func (a *answers) add(answer *cmdpb.ChangeAnswer) {
	a.byChange[answer.GetChange()] = answer
	a.order = append(a.order, answer)
	a.size += len(answer.GetResult())
	for len(a.order) > maxAnswers || (a.size > maxAnswerBytes && len(a.order) > 1) {
		a.forget()
	}
}

// forget drops the oldest answer.
func (a *answers) forget() {
	oldest := a.order[0]
	a.order[0] = nil
	a.order = a.order[1:]
	a.size -= len(oldest.GetResult())
	delete(a.byChange, oldest.GetChange())
}

// expire forgets answers that are too old.
func (a *answers) expire(now time.Time) {
	limit := now.Add(-answerKept).UnixNano()
	for len(a.order) > 0 && a.order[0].GetTime() < limit {
		a.forget()
	}
}

// once runs a change unless its id was answered before: the same change gets
// the same answer again, another one under its id is refused. A change with
// no id is always run.
func (s *Store) once(c *cmdpb.Command, body proto.Message, run func() *cmdpb.Result) *cmdpb.Result {
	if c.GetChange() == "" {
		return s.revised(run())
	}
	content, err := contentHash(body)
	if err != nil {
		return invalid(err.Error())
	}
	if known := s.answers.byChange[c.GetChange()]; known != nil {
		return replay(known, content)
	}
	result := s.revised(run())
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(result)
	if err != nil {
		return invalid(err.Error())
	}
	s.answers.add(&cmdpb.ChangeAnswer{
		Change: c.GetChange(), Time: s.now.UnixNano(), Content: content, Result: data,
	})
	return result
}

// revised adds the current revision to a result.
func (s *Store) revised(result *cmdpb.Result) *cmdpb.Result {
	result.Revision = s.revision()
	return result
}

// replay returns the answer that a change got.
func replay(known *cmdpb.ChangeAnswer, content []byte) *cmdpb.Result {
	if !bytes.Equal(known.GetContent(), content) {
		return &cmdpb.Result{
			Status: cmdpb.Status_STATUS_CHANGE_REUSED,
			Detail: "change id was used for another change",
		}
	}
	result, err := DecodeResult(known.GetResult())
	if err != nil {
		return invalid(err.Error())
	}
	return result
}

// contentHash returns the SHA-256 of a change.
func contentHash(body proto.Message) ([]byte, error) {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(body)
	if err != nil {
		return nil, err
	}
	kind := string(body.ProtoReflect().Descriptor().Name())
	sum := sha256.Sum256(append([]byte(kind+"\x00"), data...))
	return sum[:], nil
}
