package store

import (
	"bytes"
	"crypto/sha256"
	"time"

	"google.golang.org/protobuf/proto"

	"cactusline.dev/cactusline/internal/version/cmdpb"
)

// Bounds of the stored change answers: their age, number and total size.
const (
	answerRetention = 7 * 24 * time.Hour
	maxAnswers      = 4096
	maxAnswerBytes  = 4 << 20
)

// changeAnswers stores the answer to each change ID, oldest first, so that a
// resent change gets the same answer.
type changeAnswers struct {
	byChange   map[string]*cmdpb.ChangeAnswer
	order      []*cmdpb.ChangeAnswer
	totalBytes int
}

func newChangeAnswers() *changeAnswers {
	return &changeAnswers{byChange: make(map[string]*cmdpb.ChangeAnswer)}
}

// add stores an answer and evicts the oldest ones beyond the bounds.
func (a *changeAnswers) add(answer *cmdpb.ChangeAnswer) {
	a.byChange[answer.GetChange()] = answer
	a.order = append(a.order, answer)
	a.totalBytes += len(answer.GetResult())
	for len(a.order) > maxAnswers || (a.totalBytes > maxAnswerBytes && len(a.order) > 1) {
		a.evictOldest()
	}
}

// evictOldest removes the oldest answer.
func (a *changeAnswers) evictOldest() {
	oldest := a.order[0]
	a.order[0] = nil
	a.order = a.order[1:]
	a.totalBytes -= len(oldest.GetResult())
	delete(a.byChange, oldest.GetChange())
}

// expire removes the answers older than answerRetention.
func (a *changeAnswers) expire(now time.Time) {
	oldestKept := now.Add(-answerRetention).UnixNano()
	for len(a.order) > 0 && a.order[0].GetTime() < oldestKept {
		a.evictOldest()
	}
}

// applyOnce applies a change unless its change ID has been answered before. A
// resend of the same change gets the same answer; a different change under the
// same ID is refused. A change without an ID is always applied.
func (s *Store) applyOnce(c *cmdpb.Command, body proto.Message, apply func() *cmdpb.Result) *cmdpb.Result {
	if c.GetChange() == "" {
		return s.withRevision(apply())
	}
	hash, err := hashChange(body)
	if err != nil {
		return invalidResult(err.Error())
	}
	if earlier := s.answers.byChange[c.GetChange()]; earlier != nil {
		return replayAnswer(earlier, hash)
	}
	result := s.withRevision(apply())
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(result)
	if err != nil {
		return invalidResult(err.Error())
	}
	s.answers.add(&cmdpb.ChangeAnswer{
		Change: c.GetChange(), Time: s.now.UnixNano(), Content: hash, Result: data,
	})
	return result
}

// withRevision sets the revision of a result to the current one.
func (s *Store) withRevision(result *cmdpb.Result) *cmdpb.Result {
	result.Revision = s.revision()
	return result
}

// replayAnswer returns the stored answer, or refuses the change if its hash
// differs from that of the change answered earlier.
func replayAnswer(earlier *cmdpb.ChangeAnswer, hash []byte) *cmdpb.Result {
	if !bytes.Equal(earlier.GetContent(), hash) {
		return &cmdpb.Result{
			Status: cmdpb.Status_STATUS_CHANGE_REUSED,
			Detail: "change id was used for another change",
		}
	}
	result, err := DecodeResult(earlier.GetResult())
	if err != nil {
		return invalidResult(err.Error())
	}
	return result
}

// hashChange returns the SHA-256 of a change, including the name of its
// message type.
func hashChange(body proto.Message) ([]byte, error) {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(body)
	if err != nil {
		return nil, err
	}
	messageName := string(body.ProtoReflect().Descriptor().Name())
	sum := sha256.Sum256(append([]byte(messageName+"\x00"), data...))
	return sum[:], nil
}
