package store_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/process/audit"
	"cactusline.dev/cactusline/internal/version/cmdpb"
	"cactusline.dev/cactusline/internal/version/record"
	"cactusline.dev/cactusline/internal/version/store"
)

// replica is a store to which the test applies commands as a log, with a clock
// that advances by 1 ms per command.
type replica struct {
	t     testing.TB
	store *store.Store
	index uint64
	now   time.Time
	log   [][]byte
}

func newReplica(t testing.TB, cfg store.Config) *replica {
	return &replica{t: t, store: store.New(cfg), now: time.Unix(1_700_000_000, 0)}
}

func (r *replica) apply(c *cmdpb.Command) *cmdpb.Result {
	r.t.Helper()
	r.now = r.now.Add(time.Millisecond)
	c.Time = r.now.UnixNano()
	entry, err := store.EncodeCommand(c)
	assert.NilError(r.t, err)
	return r.applyEntry(entry)
}

// applyFormat applies a command in an older format.
func (r *replica) applyFormat(c *cmdpb.Command, format uint32) *cmdpb.Result {
	r.t.Helper()
	c.Time, c.Format = r.now.UnixNano(), format
	entry, err := proto.Marshal(c)
	assert.NilError(r.t, err)
	return r.applyEntry(entry)
}

func (r *replica) applyEntry(entry []byte) *cmdpb.Result {
	r.t.Helper()
	r.index++
	r.log = append(r.log, entry)
	result, err := store.DecodeResult(r.store.Apply(r.index, entry))
	assert.NilError(r.t, err)
	return result
}

func (r *replica) snapshot() []byte {
	r.t.Helper()
	data, err := r.store.Snapshot()
	assert.NilError(r.t, err)
	return data
}

func applyCommand(change string, records ...[]byte) *cmdpb.Command {
	return &cmdpb.Command{
		Actor: "operator", Change: change,
		Body: &cmdpb.Command_Apply{Apply: &cmdpb.ApplyRecords{Records: records}},
	}
}

func retireCommand(change string, kind record.Kind, name string, version uint64) *cmdpb.Command {
	return &cmdpb.Command{Actor: "operator", Change: change, Body: &cmdpb.Command_Retire{Retire: &cmdpb.RetireRecords{
		Records: []*cmdpb.RecordVersion{{Kind: string(kind), Name: name, Version: version}},
	}}}
}

func serviceJSON(name string, version uint64, pool string) []byte {
	return fmt.Appendf(nil, `{"Kind":"Service","SchemaVersion":1,"Name":%q,"Version":%d,"Pool":%q}`, name, version, pool)
}

func targetJSON(name, service string) []byte {
	return fmt.Appendf(nil, `{"Kind":"Target","SchemaVersion":2,"Name":%q,"VM":"vm1","Domain":"a","Region":"r",
		"Address":"10.0.0.1:7000","Service":%q}`, name, service)
}

func claimCommand(key, attempt string, fingerprint uint64) *cmdpb.Command {
	return &cmdpb.Command{Actor: "router-1", Body: &cmdpb.Command_Claim{Claim: &cmdpb.Claim{
		Customer: "c", Key: key, Fingerprint: fingerprint, Request: "r-" + attempt,
		Attempt: attempt, Target: "t", Incarnation: 1,
	}}}
}

func settleCommand(key, attempt string, body []byte) *cmdpb.Command {
	return &cmdpb.Command{Actor: "router-1", Body: &cmdpb.Command_Settle{Settle: &cmdpb.Settle{
		Customer: "c", Key: key, Attempt: attempt, Answer: &cmdpb.Answer{Status: 200, Body: body},
	}}}
}

func drainCommand(change, vm string, cancel bool) *cmdpb.Command {
	return &cmdpb.Command{Actor: "operator", Change: change, Body: &cmdpb.Command_Drain{
		Drain: &cmdpb.Drain{Vm: vm, Cancel: cancel},
	}}
}

type auditSink struct {
	entries []audit.Entry
}

func (s *auditSink) WriteAudit(entries []audit.Entry) error {
	s.entries = append(s.entries, entries...)
	return nil
}
