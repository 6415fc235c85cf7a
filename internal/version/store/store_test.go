package store_test

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/testing/protocmp"
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

// Of two changes based on the same version only the first may be applied, and
// a resend must get the result of its first delivery.
func TestConcurrentChangesOfOneVersion(t *testing.T) {
	r := newReplica(t, store.Config{})
	assert.Equal(t, r.apply(applyCommand("1", serviceJSON("s", 0, "a"))).GetRevision(), uint64(1))

	won := r.apply(applyCommand("2", serviceJSON("s", 1, "b")))
	assert.Equal(t, won.GetStatus(), ok)
	lost := r.apply(applyCommand("3", serviceJSON("s", 1, "c")))
	assert.Equal(t, lost.GetStatus(), conflict)
	assert.Assert(t, strings.Contains(string(lost.GetConflicts()[0].GetWinner()), `"Pool":"b"`))

	same := r.apply(applyCommand("4", serviceJSON("s", 1, "b")))
	assert.Equal(t, same.GetStatus(), ok, "a change with the same version and content was already applied")
	assert.Equal(t, same.GetRevision(), uint64(2))

	resent := r.apply(applyCommand("2", serviceJSON("s", 1, "b")))
	assert.Equal(t, resent.String(), won.String())
	resent = r.apply(applyCommand("3", serviceJSON("s", 1, "c")))
	assert.Equal(t, resent.String(), lost.String())
	reused := r.apply(applyCommand("2", serviceJSON("s", 1, "c")))
	assert.Equal(t, reused.GetStatus(), cmdpb.Status_STATUS_CHANGE_REUSED)
	assert.Equal(t, r.store.Revision(), ident.Revision(2))
}

// A change with any invalid or conflicting record must not be applied in part.
func TestRefusedChangeAppliesNothing(t *testing.T) {
	r := newReplica(t, store.Config{})
	assert.Equal(t, r.apply(applyCommand("", serviceJSON("s", 0, "a"))).GetStatus(), ok)
	bad := r.apply(applyCommand("", serviceJSON("x", 0, ""), targetJSON("t", "none"), serviceJSON("s", 1, "b")))
	assert.Equal(t, bad.GetStatus(), cmdpb.Status_STATUS_INVALID)
	assert.Equal(t, bad.GetFaults()[0].GetField(), "Service")
	bad = r.apply(applyCommand("", serviceJSON("x", 0, ""), serviceJSON("s", 7, "b"), serviceJSON("y", 3, "b")))
	assert.Equal(t, bad.GetStatus(), conflict)
	assert.Equal(t, len(bad.GetConflicts()), 2)
	bad = r.apply(applyCommand("", serviceJSON("x", 0, ""), serviceJSON("x", 0, ""), []byte("{"), []byte(`{"Kind":"Service"}`)))
	assert.Equal(t, len(bad.GetFaults()), 4)
	assert.Equal(t, r.store.Set().Len(), 1)
	assert.Equal(t, r.store.Revision(), ident.Revision(1))
}

// A record created again after its retirement must start above the retired
// version, or a stale change could match its version.
func TestRecreatedRecordNeverReusesVersion(t *testing.T) {
	r := newReplica(t, store.Config{})
	r.apply(applyCommand("", serviceJSON("s", 0, "a")))
	r.apply(applyCommand("", serviceJSON("s", 1, "b")))
	r.apply(applyCommand("", targetJSON("t", "s")))
	assert.Equal(t, r.apply(retireCommand("", "Service", "s", 2)).GetStatus(), cmdpb.Status_STATUS_INVALID, "still in use")
	assert.Equal(t, r.apply(retireCommand("", "Target", "t", 1)).GetStatus(), ok)
	assert.Equal(t, r.apply(retireCommand("", "Service", "s", 1)).GetStatus(), conflict)
	assert.Equal(t, r.apply(retireCommand("", "Service", "s", 2)).GetStatus(), ok)
	assert.Equal(t, r.apply(retireCommand("", "Service", "s", 2)).GetStatus(), cmdpb.Status_STATUS_NOT_FOUND)
	again := r.apply(applyCommand("", serviceJSON("s", 0, "c")))
	assert.Equal(t, again.GetCommitted()[0].GetVersion(), uint64(3))
	assert.Equal(t, r.apply(applyCommand("", serviceJSON("s", 2, "stale"))).GetStatus(), conflict)
}

// Draining a VM must mark its targets as leaving, and canceling the drain must
// undo that.
func TestDrainVM(t *testing.T) {
	r := newReplica(t, store.Config{})
	r.apply(applyCommand("", serviceJSON("s", 0, ""), targetJSON("t", "s")))
	changed := r.store.Changed()
	assert.Equal(t, r.apply(drainCommand("d", "nowhere", false)).GetStatus(), cmdpb.Status_STATUS_NOT_FOUND)
	assert.Equal(t, r.apply(drainCommand("e", "vm1", false)).GetStatus(), ok)
	<-changed
	assert.Assert(t, r.store.Set().TargetLeaving("t"))
	assert.Equal(t, r.apply(drainCommand("f", "vm1", false)).GetRevision(), uint64(2), "the drain was already planned")
	undrained := r.apply(drainCommand("g", "vm1", true))
	assert.Equal(t, undrained.GetStatus(), ok)
	entries, err := r.store.AuditAfter(undrained.GetAudit() - 1)
	assert.NilError(t, err)
	assert.Equal(t, entries[0].Subject, "Departure/vm/vm1@1")
	assert.Assert(t, !r.store.Set().TargetLeaving("t"))
	assert.Equal(t, r.apply(drainCommand("h", "", false)).GetStatus(), cmdpb.Status_STATUS_INVALID)
}

// A key must be granted to one attempt at a time, pass to another attempt only
// on a valid proof, and keep the answer of the attempt that settled it.
func TestLedgerCommands(t *testing.T) {
	var violations []error
	r := newReplica(t, store.Config{OnViolation: func(err error) { violations = append(violations, err) }})
	state := func(result *cmdpb.Result) string { return result.GetEntry().GetState().String()[len("ENTRY_STATE_"):] }
	assert.Equal(t, state(r.apply(claimCommand("k", "a", 1))), "GRANTED")
	joined := r.apply(claimCommand("k", "b", 1))
	assert.Equal(t, state(joined), "RUNNING")
	assert.Equal(t, joined.GetEntry().GetAttempt(), "a")
	mismatch := r.apply(claimCommand("k", "b", 2))
	assert.Equal(t, state(mismatch), "MISMATCH")
	assert.Equal(t, mismatch.GetStatus(), refused)

	replacing := claimCommand("k", "b", 1)
	replacing.GetClaim().Replaces = &cmdpb.Proof{Kind: cmdpb.ProofKind_PROOF_KIND_TOMBSTONE, Attempt: "a", Incarnation: 2}
	assert.Equal(t, r.apply(replacing).GetStatus(), refused, "a tombstone of another incarnation proves nothing")
	replacing.GetClaim().Replaces.Incarnation = 1
	assert.Equal(t, state(r.apply(replacing)), "GRANTED")
	assert.Equal(t, r.apply(settleCommand("k", "a", nil)).GetStatus(), refused)
	assert.Equal(t, len(violations), 1, "an attempt ran although a proof said it would not")
	assert.Equal(t, r.apply(settleCommand("k", "b", []byte("bib 17"))).GetStatus(), ok)
	settled := r.apply(claimCommand("k", "c", 1))
	assert.Equal(t, string(settled.GetEntry().GetAnswer().GetBody()), "bib 17")
	assert.Equal(t, r.store.Lookup("c", "k").State, ledger.StateSettled)
	assert.Equal(t, r.store.Revision(), ident.Revision(0), "ledger commands changed the revision")
}

// A request in flight at crashes of two targets must be quarantined, with the
// same verdict index after a restore, until an operator clears it.
func TestCrashesQuarantineRequest(t *testing.T) {
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

// Incarnations and fences must never repeat, also after a restore, or an old
// process or order could pass for a new one.
func TestIncarnationsAndFencesIncrease(t *testing.T) {
	r := newReplica(t, store.Config{})
	r.apply(applyCommand("", serviceJSON("s", 0, ""), targetJSON("t", "s")))
	register := func(name string, nonce uint64) uint64 {
		return r.apply(&cmdpb.Command{Body: &cmdpb.Command_Register{
			Register: &cmdpb.RegisterProcess{Process: name, Nonce: nonce},
		}}).GetIncarnation()
	}
	first := register("p", 1)
	assert.Equal(t, register("p", 1), first, "a resend gets the same incarnation")
	assert.Assert(t, register("p", 2) > first)
	fence := func() *cmdpb.Result {
		return r.apply(&cmdpb.Command{Body: &cmdpb.Command_Fence{Fence: &cmdpb.NextFence{Target: "t", Order: "load m"}}})
	}
	low := fence().GetFence()
	assert.NilError(t, r.store.Restore(r.snapshot()))
	assert.Assert(t, fence().GetFence() > low)
	assert.Equal(t, r.store.LastFence("t"), ident.Fence(low+1))
}

// A sidecar that a newer incarnation has replaced must not get a fence, or its
// order could override one of its successor.
func TestReplacedSidecarGetsNoFence(t *testing.T) {
	r := newReplica(t, store.Config{})
	r.apply(applyCommand("", serviceJSON("s", 0, ""), targetJSON("t", "s")))
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

// A revision within the history must give a delta, an older one the full set
// and a newer one an empty delta.
func TestDeltaSince(t *testing.T) {
	r := newReplica(t, store.Config{HistoryRevisions: 3})
	for i := range 6 {
		r.apply(applyCommand("", serviceJSON(fmt.Sprint("s", i), 0, "")))
	}
	r.apply(retireCommand("", "Service", "s5", 1))
	assert.Assert(t, r.store.DeltaSince(3).Full)
	delta := r.store.DeltaSince(4)
	assert.Assert(t, !delta.Full && delta.From == 4 && delta.To == 7)
	assert.Equal(t, len(delta.Records), 1)
	assert.DeepEqual(t, delta.Retired, []record.Key{{Kind: "Service", Name: "s5"}})
	assert.Equal(t, r.store.DeltaSince(9).To, ident.Revision(7))
}

// A snapshot older than the applied entries must not undo them.
func TestRestoreRefusesOlderSnapshot(t *testing.T) {
	r := newReplica(t, store.Config{})
	r.apply(applyCommand("", serviceJSON("s", 0, "")))
	old := r.snapshot()
	r.apply(applyCommand("", serviceJSON("s", 1, "b")))
	assert.ErrorContains(t, r.store.Restore(old), "below applied entry 2")
	assert.Equal(t, r.store.Revision(), ident.Revision(2))
}

// Every applied or refused command of an operator and every granted claim must
// be in the audit chain, and more entries than are kept must reach the sink in
// batches without a gap.
func TestEveryStepIsAuditedAndExported(t *testing.T) {
	sink := &auditSink{}
	r := newReplica(t, store.Config{AuditSink: sink, Audit: audit.Config{RetainedEntries: 2048}})
	r.apply(applyCommand("c1", serviceJSON("s", 0, "")))
	r.apply(applyCommand("c2", serviceJSON("s", 0, "other")))
	for i := range 3000 {
		r.apply(claimCommand(fmt.Sprint("k", i), "a", 1))
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

func gateReport(targets []string, age time.Duration, fingerprint uint64) *cmdpb.Command {
	report := new(cmdpb.GateReport)
	for _, target := range targets {
		report.Crashes = append(report.Crashes, &cmdpb.TargetCrash{Target: target, Age: int64(age), Fingerprints: []uint64{fingerprint}})
	}
	return &cmdpb.Command{Body: &cmdpb.Command_GateReport{GateReport: report}}
}

// Verdicts from the reports of several gates survive a snapshot, and programs that
// don't know these reports refuse the snapshot.
func TestGateReportsQuarantineRequest(t *testing.T) {
	r := newReplica(t, store.Config{})
	olderFormat := r.snapshot()
	assert.Equal(t, snapshotFormat(t, olderFormat), uint32(2))
	r.apply(gateReport([]string{"t1", "t2"}, 0, 7))
	r.apply(gateReport([]string{"t1"}, 20*time.Millisecond, 7))
	verdicts, before := r.store.Verdicts()
	assert.Equal(t, len(verdicts), 1)
	assert.Equal(t, poison.Verdict(verdicts[0].GetVerdict()), poison.VerdictSuspect)
	r.apply(gateReport([]string{"t3"}, time.Second, 7))
	verdicts, after := r.store.Verdicts()
	assert.Assert(t, after > before)
	assert.Equal(t, poison.Verdict(verdicts[0].GetVerdict()), poison.VerdictQuarantined)
	assert.Assert(t, verdicts[0].GetExpires() > r.now.UnixNano())

	restored := newReplica(t, store.Config{})
	snapshot := r.snapshot()
	assert.Equal(t, snapshotFormat(t, snapshot), uint32(3))
	assert.NilError(t, restored.store.Restore(snapshot))
	got, _ := restored.store.Verdicts()
	assert.DeepEqual(t, got, verdicts, protocmp.Transform())
	assert.Equal(t, string(restored.snapshot()), string(snapshot))

	for _, invalid := range []*cmdpb.Command{gateReport([]string{""}, 0, 7), gateReport([]string{"t4"}, -1, 7)} {
		assert.Equal(t, r.apply(invalid).GetStatus(), cmdpb.Status_STATUS_INVALID)
	}
}

// A trial is granted once, also by a replica that starts from a snapshot.
func TestGateReportsBeginTrials(t *testing.T) {
	r := newReplica(t, store.Config{Poison: poison.Config{DirectQuarantine: time.Millisecond}})
	r.apply(gateReport([]string{"t1", "t2", "t3"}, time.Second, 7))
	r.apply(gateReport([]string{"t1", "t2", "t3"}, time.Second, 8))
	trial := &cmdpb.Command{Body: &cmdpb.Command_GateReport{GateReport: &cmdpb.GateReport{Trials: []uint64{7, 8}}}}
	result := r.apply(trial)
	assert.Equal(t, result.GetStatus(), cmdpb.Status_STATUS_OK)
	assert.DeepEqual(t, result.GetGrantedTrials(), []uint64{7})
	assert.Assert(t, result.GetAudit() > 0)

	restored := newReplica(t, store.Config{Poison: poison.Config{DirectQuarantine: time.Millisecond}})
	restored.now, restored.index = r.now, r.index
	assert.NilError(t, restored.store.Restore(r.snapshot()))
	for _, replica := range []*replica{r, restored} {
		assert.Equal(t, len(replica.apply(trial).GetGrantedTrials()), 0)
	}
}

// A bystander runs early on trial by the reports of programs that know of early trials,
// and only by those.
func TestGateReportsBeginEarlyTrials(t *testing.T) {
	r := newReplica(t, store.Config{})
	r.apply(gateReport([]string{"t1", "t2", "t3", "t4"}, 3*time.Second, 7))
	r.apply(gateReport([]string{"t1", "t2", "t3"}, 3*time.Second, 8))
	trial := &cmdpb.Command{Body: &cmdpb.Command_GateReport{GateReport: &cmdpb.GateReport{Trials: []uint64{7, 8}}}}
	completion := &cmdpb.Command{Body: &cmdpb.Command_GateReport{GateReport: &cmdpb.GateReport{Completed: []uint64{8}}}}
	assert.Equal(t, len(r.applyFormat(trial, 3).GetGrantedTrials()), 0)
	assert.DeepEqual(t, r.apply(trial).GetGrantedTrials(), []uint64{8})

	assert.Equal(t, len(r.applyFormat(completion, 3).GetVerdicts()), 0)
	assert.Equal(t, len(r.apply(completion).GetVerdicts()), 1)
	verdicts, _ := r.store.Verdicts()
	assert.Equal(t, len(verdicts), 1)
	assert.Equal(t, verdicts[0].GetFingerprint(), uint64(7))
}

// partCrash returns the report of a crash with one part of prompts in flight.
func partCrash(target string, part uint64) *cmdpb.Command {
	return &cmdpb.Command{Body: &cmdpb.Command_GateReport{GateReport: &cmdpb.GateReport{Crashes: []*cmdpb.TargetCrash{{
		Target: target, Parts: []*cmdpb.PartInFlight{{Fingerprint: part, Part: 0xabc, Depth: 2}},
	}}}}}
}

// A part of prompts is quarantined at all replicas, also those that start from a
// snapshot, until a gate reports that a target survived it.
func TestGateReportsQuarantinePart(t *testing.T) {
	r := newReplica(t, store.Config{})
	for i := range poison.MaxPartCrashes {
		r.apply(partCrash(fmt.Sprint("t", i), 7))
	}
	verdicts, _ := r.store.Verdicts()
	assert.Equal(t, len(verdicts), 1)
	assert.Equal(t, poison.Verdict(verdicts[0].GetVerdict()), poison.VerdictQuarantined)
	assert.Equal(t, verdicts[0].GetPart(), uint64(0xabc))
	assert.Equal(t, verdicts[0].GetDepth(), uint32(2))

	restored := newReplica(t, store.Config{})
	snapshot := r.snapshot()
	assert.Equal(t, snapshotFormat(t, snapshot), uint32(4))
	assert.NilError(t, restored.store.Restore(snapshot))
	got, _ := restored.store.Verdicts()
	assert.DeepEqual(t, got, verdicts, protocmp.Transform())

	survival := &cmdpb.GateReport{Survivals: []*cmdpb.PartSurvival{{Fingerprint: 7}}}
	result := r.apply(&cmdpb.Command{Body: &cmdpb.Command_GateReport{GateReport: survival}})
	assert.Assert(t, result.GetAudit() > 0)
	verdicts, _ = r.store.Verdicts()
	assert.Equal(t, len(verdicts), 0)

	invalid := partCrash("t9", 7)
	invalid.GetGateReport().GetCrashes()[0].GetParts()[0].Depth = 0
	assert.Equal(t, r.apply(invalid).GetStatus(), cmdpb.Status_STATUS_INVALID)
	survival.Survivals[0].Age = -1
	assert.Equal(t, r.apply(&cmdpb.Command{Body: &cmdpb.Command_GateReport{GateReport: survival}}).GetStatus(), cmdpb.Status_STATUS_INVALID)
}

// A request whose crashes a quarantined part explains is held again by each replica once the
// part is survived, by the reports of programs that keep these crashes, and only by those.
func TestGateReportsKeepExplainedCrashes(t *testing.T) {
	// The same crashes in one request quarantine the part by earlier rules alone.
	for format, want := range map[uint32]uint64{8: 7, 7: 100} {
		r := newReplica(t, store.Config{})
		for i := range poison.MaxPartCrashes {
			crash := partCrash(fmt.Sprint("t", i), 100)
			crash.GetGateReport().GetCrashes()[0].Fingerprints = []uint64{7}
			r.applyFormat(crash, format)
		}
		verdicts, _ := r.store.Verdicts()
		for _, verdict := range verdicts {
			assert.Equal(t, poison.Verdict(verdict.GetVerdict()) == poison.VerdictQuarantined, verdict.GetFingerprint() == want, "format %d", format)
		}
	}
	for format, want := range map[uint32]int{8: 1, 7: 0} {
		r := newReplica(t, store.Config{})
		for i, request := range []uint64{7, 7, 7, 8, 9} {
			crash := partCrash(fmt.Sprint("t", i), 100)
			crash.GetGateReport().GetCrashes()[0].Fingerprints = []uint64{request}
			r.applyFormat(crash, format)
		}
		restored := newReplica(t, store.Config{})
		restored.now, restored.index = r.now, r.index
		snapshot := r.snapshot()
		if format == 8 {
			assert.Equal(t, snapshotFormat(t, snapshot), uint32(8))
		}
		assert.NilError(t, restored.store.Restore(snapshot))
		survival := &cmdpb.GateReport{Survivals: []*cmdpb.PartSurvival{{Fingerprint: 100}}}
		for _, replica := range []*replica{r, restored} {
			replica.apply(&cmdpb.Command{Body: &cmdpb.Command_GateReport{GateReport: survival}})
			verdicts, _ := replica.store.Verdicts()
			assert.Equal(t, len(verdicts), want, "format %d", format)
		}
	}
}

// Commands that older programs apply too keep their format.
func TestGateReportHasOldestFormat(t *testing.T) {
	withPart := partCrash("t", 7)
	withSurvival := &cmdpb.Command{Body: &cmdpb.Command_GateReport{GateReport: &cmdpb.GateReport{Survivals: []*cmdpb.PartSurvival{{}}}}}
	// What a crash counts against has changed with format 8.
	for _, command := range []*cmdpb.Command{gateReport([]string{"t"}, 0, 7), withPart} {
		_, err := store.EncodeCommand(command)
		assert.NilError(t, err)
		assert.Equal(t, command.GetFormat(), uint32(8))
	}
	_, err := store.EncodeCommand(withSurvival)
	assert.NilError(t, err)
	assert.Equal(t, withSurvival.GetFormat(), uint32(4))
}

func snapshotFormat(t *testing.T, data []byte) uint32 {
	t.Helper()
	snapshot := new(cmdpb.Snapshot)
	assert.NilError(t, proto.Unmarshal(data, snapshot))
	return snapshot.GetFormat()
}

// A malformed command must be answered as such. A command of a newer format
// must stop the replica, which would otherwise diverge.
func TestMalformedAndNewerCommands(t *testing.T) {
	r := newReplica(t, store.Config{})
	assert.Equal(t, r.applyEntry([]byte{0xff}).GetStatus(), cmdpb.Status_STATUS_MALFORMED)
	assert.Equal(t, r.applyEntry(nil).GetStatus(), cmdpb.Status_STATUS_MALFORMED)
	newer := []byte{0x08, store.Format + 1} // the format field alone
	var format *store.FormatError
	assert.Assert(t, errors.As(store.CheckCommand(newer), &format))
	defer func() {
		_, isFormat := recover().(*store.FormatError)
		assert.Assert(t, isFormat)
	}()
	r.store.Apply(100, newer)
}
