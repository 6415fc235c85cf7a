package store

import (
	"bytes"
	"crypto/sha256"
	"time"

	"google.golang.org/protobuf/proto"

	"cactusline.dev/cactusline/internal/version/cmdpb"
)

// Bounds of the stored results of changes: their age, number and total size.
const (
	changeResultRetention = 7 * 24 * time.Hour
	maxChangeResults      = 4096
	maxChangeResultBytes  = 4 << 20
)

// changeResults stores the result of each change ID, oldest first, so that a
// resent change gets the same result.
type changeResults struct {
	byChange   map[string]*cmdpb.ChangeAnswer
	order      []*cmdpb.ChangeAnswer
	totalBytes int
}

func newChangeResults() *changeResults {
	return &changeResults{byChange: make(map[string]*cmdpb.ChangeAnswer)}
}

// add stores a result and evicts the oldest ones beyond the bounds.
func (r *changeResults) add(result *cmdpb.ChangeAnswer) {
	r.byChange[result.GetChange()] = result
	r.order = append(r.order, result)
	r.totalBytes += len(result.GetResult())
	for len(r.order) > maxChangeResults || (r.totalBytes > maxChangeResultBytes && len(r.order) > 1) {
		r.evictOldest()
	}
}

// evictOldest removes the oldest result.
func (r *changeResults) evictOldest() {
	oldest := r.order[0]
	r.order[0] = nil
	r.order = r.order[1:]
	r.totalBytes -= len(oldest.GetResult())
	delete(r.byChange, oldest.GetChange())
}

// expire removes the results older than changeResultRetention.
func (r *changeResults) expire(now time.Time) {
	oldestKept := now.Add(-changeResultRetention).UnixNano()
	for len(r.order) > 0 && r.order[0].GetTime() < oldestKept {
		r.evictOldest()
	}
}

// applyOnce applies a change unless its change ID has been used before. A
// resend of the same change gets the same result; a different change under the
// same ID is refused. A change without an ID is always applied.
func (s *Store) applyOnce(c *cmdpb.Command, body proto.Message, apply func() *cmdpb.Result) *cmdpb.Result {
	if c.GetChange() == "" {
		return s.withRevision(apply())
	}
	hash, err := hashChange(body)
	if err != nil {
		return invalidResult(err.Error())
	}
	if earlier := s.changeResults.byChange[c.GetChange()]; earlier != nil {
		return replayResult(earlier, hash)
	}
	result := s.withRevision(apply())
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(result)
	if err != nil {
		return invalidResult(err.Error())
	}
	s.changeResults.add(&cmdpb.ChangeAnswer{
		Change: c.GetChange(), Time: s.now.UnixNano(), Content: hash, Result: data,
	})
	return result
}

// withRevision sets the revision of a result to the current one.
func (s *Store) withRevision(result *cmdpb.Result) *cmdpb.Result {
	result.Revision = s.revision()
	return result
}

// replayResult returns the stored result, or refuses the change if its hash
// differs from that of the earlier change.
func replayResult(earlier *cmdpb.ChangeAnswer, hash []byte) *cmdpb.Result {
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
