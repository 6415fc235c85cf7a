package store_test

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/process/audit"
	"cactusline.dev/cactusline/internal/request/ledger"
	"cactusline.dev/cactusline/internal/request/poison"
	"cactusline.dev/cactusline/internal/version/cmdpb"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/record"
	"cactusline.dev/cactusline/internal/version/store"
)

const (
	ok       = cmdpb.Status_STATUS_OK
	conflict = cmdpb.Status_STATUS_CONFLICT
	refused  = cmdpb.Status_STATUS_REFUSED
)

func TestOperatorsRaceUnderEqualVersions(t *testing.T) {
	r := newReplica(t, store.Config{})
	assert.Equal(t, r.apply(applyOf("1", service("s", 0, "a"))).GetRevision(), uint64(1))

	won := r.apply(applyOf("2", service("s", 1, "b")))
	assert.Equal(t, won.GetStatus(), ok)
	lost := r.apply(applyOf("3", service("s", 1, "c")))
	assert.Equal(t, lost.GetStatus(), conflict)
	assert.Assert(t, strings.Contains(string(lost.GetConflicts()[0].GetWinner()), `"Pool":"b"`))

	same := r.apply(applyOf("4", service("s", 1, "b")))
	assert.Equal(t, same.GetStatus(), ok, "equal version and equal content is the same change")
	assert.Equal(t, same.GetRevision(), uint64(2))

	resent := r.apply(applyOf("2", service("s", 1, "b")))
	assert.Equal(t, resent.String(), won.String())
	resent = r.apply(applyOf("3", service("s", 1, "c")))
	assert.Equal(t, resent.String(), lost.String())
	reused := r.apply(applyOf("2", service("s", 1, "c")))
	assert.Equal(t, reused.GetStatus(), cmdpb.Status_STATUS_CHANGE_REUSED)
	assert.Equal(t, r.store.Revision(), ident.Revision(2))
}

func TestNothingIsHalfApplied(t *testing.T) {
	r := newReplica(t, store.Config{})
	assert.Equal(t, r.apply(applyOf("", service("s", 0, "a"))).GetStatus(), ok)
	bad := r.apply(applyOf("", service("x", 0, ""), replicaTarget("t", "none"), service("s", 1, "b")))
	assert.Equal(t, bad.GetStatus(), cmdpb.Status_STATUS_INVALID)
	assert.Equal(t, bad.GetFaults()[0].GetField(), "Service")
	bad = r.apply(applyOf("", service("x", 0, ""), service("s", 7, "b"), service("y", 3, "b")))
	assert.Equal(t, bad.GetStatus(), conflict)
	assert.Equal(t, len(bad.GetConflicts()), 2)
	bad = r.apply(applyOf("", service("x", 0, ""), service("x", 0, ""), []byte("{"), []byte(`{"Kind":"Service"}`)))
	assert.Equal(t, len(bad.GetFaults()), 4)
	assert.Equal(t, r.store.Set().Len(), 1)
	assert.Equal(t, r.store.Revision(), ident.Revision(1))
}

func TestRetireAndCreateAgainNeverReusesAVersion(t *testing.T) {
	r := newReplica(t, store.Config{})
	r.apply(applyOf("", service("s", 0, "a")))
	r.apply(applyOf("", service("s", 1, "b")))
	r.apply(applyOf("", replicaTarget("t", "s")))
	assert.Equal(t, r.apply(retireOf("", "Service", "s", 2)).GetStatus(), cmdpb.Status_STATUS_INVALID, "still in use")
	assert.Equal(t, r.apply(retireOf("", "Target", "t", 1)).GetStatus(), ok)
	assert.Equal(t, r.apply(retireOf("", "Service", "s", 1)).GetStatus(), conflict)
	assert.Equal(t, r.apply(retireOf("", "Service", "s", 2)).GetStatus(), ok)
	assert.Equal(t, r.apply(retireOf("", "Service", "s", 2)).GetStatus(), cmdpb.Status_STATUS_NOT_FOUND)
	again := r.apply(applyOf("", service("s", 0, "c")))
	assert.Equal(t, again.GetCommitted()[0].GetVersion(), uint64(3))
	assert.Equal(t, r.apply(applyOf("", service("s", 2, "stale"))).GetStatus(), conflict)
}

func TestDrainOfAVM(t *testing.T) {
	r := newReplica(t, store.Config{})
	r.apply(applyOf("", service("s", 0, ""), replicaTarget("t", "s")))
	changed := r.store.Changed()
	assert.Equal(t, r.apply(drainOf("d", "nowhere", false)).GetStatus(), cmdpb.Status_STATUS_NOT_FOUND)
	assert.Equal(t, r.apply(drainOf("e", "vm1", false)).GetStatus(), ok)
	<-changed
	assert.Assert(t, r.store.Set().TargetLeaving("t"))
	assert.Equal(t, r.apply(drainOf("f", "vm1", false)).GetRevision(), uint64(2), "planned already")
	undrained := r.apply(drainOf("g", "vm1", true))
	assert.Equal(t, undrained.GetStatus(), ok)
	entries, err := r.store.AuditAfter(undrained.GetAudit() - 1)
	assert.NilError(t, err)
	assert.Equal(t, entries[0].Subject, "Departure/vm/vm1@1")
	assert.Assert(t, !r.store.Set().TargetLeaving("t"))
	assert.Equal(t, r.apply(drainOf("h", "", false)).GetStatus(), cmdpb.Status_STATUS_INVALID)
}

func TestLedgerCommands(t *testing.T) {
	var violations []error
	r := newReplica(t, store.Config{OnViolation: func(err error) { violations = append(violations, err) }})
	state := func(result *cmdpb.Result) string { return result.GetEntry().GetState().String()[len("ENTRY_STATE_"):] }
	assert.Equal(t, state(r.apply(claimOf("k", "a", 1))), "GRANTED")
	joined := r.apply(claimOf("k", "b", 1))
	assert.Equal(t, state(joined), "RUNNING")
	assert.Equal(t, joined.GetEntry().GetAttempt(), "a")
	mismatch := r.apply(claimOf("k", "b", 2))
	assert.Equal(t, state(mismatch), "MISMATCH")
	assert.Equal(t, mismatch.GetStatus(), refused)

	replaced := claimOf("k", "b", 1)
	replaced.GetClaim().Replaces = &cmdpb.Proof{Kind: cmdpb.ProofKind_PROOF_KIND_TOMBSTONE, Attempt: "a", Incarnation: 2}
	assert.Equal(t, r.apply(replaced).GetStatus(), refused, "a restarted sidecar proves nothing")
	replaced.GetClaim().Replaces.Incarnation = 1
	assert.Equal(t, state(r.apply(replaced)), "GRANTED")
	assert.Equal(t, r.apply(settleOf("k", "a", nil)).GetStatus(), refused)
	assert.Equal(t, len(violations), 1, "an attempt ran that was proved not to")
	assert.Equal(t, r.apply(settleOf("k", "b", []byte("bib 17"))).GetStatus(), ok)
	settled := r.apply(claimOf("k", "c", 1))
	assert.Equal(t, string(settled.GetEntry().GetAnswer().GetBody()), "bib 17")
	assert.Equal(t, r.store.Lookup("c", "k").State, ledger.StateSettled)
	assert.Equal(t, r.store.Revision(), ident.Revision(0), "ledger traffic raises no revision")
}

func TestCrashesQuarantineARequest(t *testing.T) {
	r := newReplica(t, store.Config{})
	crash := func(target string, fingerprints ...uint64) *cmdpb.Result {
		return r.apply(&cmdpb.Command{Body: &cmdpb.Command_Crash{Crash: &cmdpb.CrashReport{
			Target: target, Incarnation: 1, Number: 1, Fingerprints: fingerprints,
		}}})
	}
	crash("t1", 7)
	_, before := r.store.Verdicts()
	result := crash("t2", 7)
	assert.Equal(t, result.GetVerdicts()[0].GetVerdict(), uint32(poison.VerdictQuarantined))
	list, after := r.store.Verdicts()
	assert.Assert(t, after > before && len(list) == 1)

	copied := store.New(store.Config{})
	assert.NilError(t, copied.Restore(r.snapshot()))
	list, restored := copied.Verdicts()
	assert.Equal(t, restored, after, "replicas must agree on the order of verdicts")
	assert.Equal(t, list[0].GetFingerprint(), uint64(7))

	r.apply(&cmdpb.Command{Body: &cmdpb.Command_Clear{Clear: &cmdpb.ClearQuarantine{Fingerprint: 7}}})
	list, _ = r.store.Verdicts()
	assert.Equal(t, len(list), 0)
}

func TestIncarnationsAndFencesRise(t *testing.T) {
	r := newReplica(t, store.Config{})
	r.apply(applyOf("", service("s", 0, ""), replicaTarget("t", "s")))
	register := func(name string, nonce uint64) uint64 {
		return r.apply(&cmdpb.Command{Body: &cmdpb.Command_Register{
			Register: &cmdpb.RegisterProcess{Process: name, Nonce: nonce},
		}}).GetIncarnation()
	}
	first := register("p", 1)
	assert.Equal(t, register("p", 1), first, "a resend gets the same answer")
	assert.Assert(t, register("p", 2) > first)
	fence := func() *cmdpb.Result {
		return r.apply(&cmdpb.Command{Body: &cmdpb.Command_Fence{Fence: &cmdpb.NextFence{Target: "t", Order: "load m"}}})
	}
	low := fence().GetFence()
	assert.NilError(t, r.store.Restore(r.snapshot()))
	assert.Assert(t, fence().GetFence() > low)
	assert.Equal(t, r.store.LastFence("t"), ident.Fence(low+1))
}

func TestReplacedSidecarGetsNoFence(t *testing.T) {
	r := newReplica(t, store.Config{})
	r.apply(applyOf("", service("s", 0, ""), replicaTarget("t", "s")))
	var incarnations [2]uint64
	for i := range incarnations {
		incarnations[i] = r.apply(&cmdpb.Command{Body: &cmdpb.Command_Register{
			Register: &cmdpb.RegisterProcess{Process: "sidecar/t", Nonce: uint64(i + 1)},
		}}).GetIncarnation()
	}
	fence := func(incarnation uint64) *cmdpb.Result {
		return r.apply(&cmdpb.Command{Body: &cmdpb.Command_Fence{
			Fence: &cmdpb.NextFence{Target: "t", Order: "load m", Incarnation: incarnation},
		}})
	}
	for _, old := range []uint64{0, incarnations[0]} {
		assert.Equal(t, fence(old).GetStatus(), cmdpb.Status_STATUS_REFUSED)
	}
	assert.Equal(t, r.store.LastFence("t"), ident.Fence(0))
	assert.Equal(t, fence(incarnations[1]).GetStatus(), cmdpb.Status_STATUS_OK)
}

func TestSince(t *testing.T) {
	r := newReplica(t, store.Config{HistoryRevisions: 3})
	for i := range 6 {
		r.apply(applyOf("", service(fmt.Sprint("s", i), 0, "")))
	}
	r.apply(retireOf("", "Service", "s5", 1))
	assert.Assert(t, r.store.DeltaSince(3).Full)
	delta := r.store.DeltaSince(4)
	assert.Assert(t, !delta.Full && delta.From == 4 && delta.To == 7)
	assert.Equal(t, len(delta.Records), 1)
	assert.DeepEqual(t, delta.Retired, []record.Key{{Kind: "Service", Name: "s5"}})
	assert.Equal(t, r.store.DeltaSince(9).To, ident.Revision(7))
}

func TestRestoreNeverGoesBack(t *testing.T) {
	r := newReplica(t, store.Config{})
	r.apply(applyOf("", service("s", 0, "")))
	old := r.snapshot()
	r.apply(applyOf("", service("s", 1, "b")))
	assert.ErrorContains(t, r.store.Restore(old), "below applied entry 2")
	assert.Equal(t, r.store.Revision(), ident.Revision(2))
}

func TestAuditFollowsEveryStepAndIsExported(t *testing.T) {
	sink := &auditSink{}
	r := newReplica(t, store.Config{AuditSink: sink, Audit: audit.Config{RetainedEntries: 2048}})
	r.apply(applyOf("c1", service("s", 0, "")))
	r.apply(applyOf("c2", service("s", 0, "other")))
	for i := range 3000 {
		r.apply(claimOf(fmt.Sprint("k", i), "a", 1))
	}
	assert.NilError(t, r.store.ExportAudit())
	assert.Equal(t, len(sink.entries), 3002)
	assert.Equal(t, sink.entries[0].Subject, "Service/s@1")
	assert.Equal(t, sink.entries[1].Kind, audit.KindRefused)
	assert.Equal(t, sink.entries[2].Request, "r-a")
	var lines bytes.Buffer
	assert.NilError(t, audit.WriteJSONLines(&lines, sink.entries))
	report, err := audit.Verifier{KnownHead: r.store.AuditHead()}.Verify(&lines)
	assert.NilError(t, err)
	assert.Assert(t, report.Fault == nil)
	assert.Equal(t, report.Entries, 3002)
}

func TestFormats(t *testing.T) {
	r := newReplica(t, store.Config{})
	assert.Equal(t, r.applyEntry([]byte{0xff}).GetStatus(), cmdpb.Status_STATUS_MALFORMED)
	assert.Equal(t, r.applyEntry(nil).GetStatus(), cmdpb.Status_STATUS_MALFORMED)
	newer := []byte{0x08, store.Format + 1}
	var format *store.FormatError
	assert.Assert(t, errors.As(store.CheckCommand(newer), &format))
	defer func() {
		_, isFormat := recover().(*store.FormatError)
		assert.Assert(t, isFormat)
	}()
	r.store.Apply(100, newer)
}
