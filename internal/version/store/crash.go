package store

import (
	"fmt"
	"slices"
	"time"

	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/process/audit"
	"cactusline.dev/cactusline/internal/request/poison"
	"cactusline.dev/cactusline/internal/version/cmdpb"
	"cactusline.dev/cactusline/internal/version/ident"
)

// activeVerdicts holds the crash verdicts in force, as they are sent to the
// other processes.
type activeVerdicts struct {
	list []*wire.CrashVerdict
	// index is the index of the log entry that last changed the list. It
	// orders lists from different replicas.
	index uint64
}

// handleCrash records a report that a target crashed.
func (s *Store) handleCrash(c *cmdpb.Command, body *cmdpb.CrashReport) *cmdpb.Result {
	if body.GetTarget() == "" {
		return invalidResult("target must be set")
	}
	report := poison.CrashReport{
		Target:      ident.TargetName(body.GetTarget()),
		Incarnation: ident.Incarnation(body.GetIncarnation()),
		Number:      body.GetNumber(),
		Partial:     body.GetPartial(),
	}
	for _, fingerprint := range body.GetFingerprints() {
		report.InFlight = append(report.InFlight, ident.Fingerprint(fingerprint))
	}
	changes := s.crashes.RecordCrash(s.now, report)
	detail := fmt.Sprintf("incarnation %d number %d, %d in flight", report.Incarnation, report.Number, len(report.InFlight))
	return s.verdictResult(c, changes, audit.Event{Kind: audit.KindCrash, Subject: body.GetTarget(), Detail: detail})
}

// handleGateReport records crashes that a gate saw, clears the requests that it saw
// complete, and grants trials.
func (s *Store) handleGateReport(c *cmdpb.Command, body *cmdpb.GateReport) *cmdpb.Result {
	for _, crash := range body.GetCrashes() {
		if crash.GetTarget() == "" || crash.GetAge() < 0 {
			return invalidResult("target must be set and age must not be negative")
		}
		if slices.ContainsFunc(crash.GetParts(), isInvalidPart) {
			return invalidResult("depth of a part must be from 1 to 1,000,000 and its ages must not be negative")
		}
	}
	for _, survival := range body.GetSurvivals() {
		if survival.GetAge() < 0 {
			return invalidResult("age of a survival must not be negative")
		}
	}
	recordCompletion, beginTrial := s.crashes.RecordTrialCompletion, s.crashes.BeginEarlyTrial
	if c.GetFormat() < formatEarlyTrial {
		recordCompletion, beginTrial = s.crashes.RecordCompletion, s.crashes.BeginTrial
	}
	recordCrash := s.crashes.RecordDirectCrash
	if c.GetFormat() < formatKeptCrashes {
		recordCrash = s.crashes.RecordDirectCrashByPart
	}
	result := &cmdpb.Result{Status: cmdpb.Status_STATUS_OK}
	for _, crash := range body.GetCrashes() {
		report := poison.DirectCrash{Target: ident.TargetName(crash.GetTarget()), At: s.now.Add(-time.Duration(crash.GetAge()))}
		for _, fingerprint := range crash.GetFingerprints() {
			report.InFlight = append(report.InFlight, ident.Fingerprint(fingerprint))
		}
		for _, part := range crash.GetParts() {
			report.Parts = append(report.Parts, s.decodePart(part))
		}
		s.recordVerdicts(result, c, recordCrash(s.now, report), audit.Event{
			Kind: audit.KindCrash, Subject: crash.GetTarget(), Detail: fmt.Sprintf("seen by a gate, %d in flight", len(report.InFlight)),
		})
	}
	for _, fingerprint := range body.GetCompleted() {
		s.recordVerdicts(result, c, recordCompletion(s.now, ident.Fingerprint(fingerprint)), audit.Event{
			Kind: audit.KindQuarantine, Subject: fingerprintSubject(fingerprint), Detail: "completed",
		})
	}
	s.recordSurvivals(result, c, body.GetSurvivals())
	for _, fingerprint := range body.GetTrials() {
		if !beginTrial(s.now, ident.Fingerprint(fingerprint)) {
			continue
		}
		result.GrantedTrials = append(result.GrantedTrials, fingerprint)
		s.appendAudit(result, c, audit.Event{
			Kind: audit.KindQuarantine, Subject: fingerprintSubject(fingerprint), Detail: "trial granted",
		})
	}
	return result
}

// maxPartDepth bounds the position of a part in its prompt.
const maxPartDepth = 1_000_000

func isInvalidPart(part *cmdpb.PartInFlight) bool {
	return part.GetDepth() < 1 || part.GetDepth() > maxPartDepth || part.GetSentAge() < 0 || part.GetSurvivedAge() < 0
}

// decodePart returns a part of prompts that was in flight at a crash.
func (s *Store) decodePart(part *cmdpb.PartInFlight) poison.PartInFlight {
	decoded := poison.PartInFlight{
		Part:        poison.Part{ID: ident.PartID(part.GetPart()), Depth: int(part.GetDepth())},
		Fingerprint: ident.Fingerprint(part.GetFingerprint()), Sent: s.now.Add(-time.Duration(part.GetSentAge())),
	}
	if age := part.GetSurvivedAge(); age > 0 {
		decoded.Survived = s.now.Add(-time.Duration(age))
	}
	return decoded
}

// recordSurvivals records that targets answered requests with parts that are held for
// crashes. Only the end of a quarantine is audited.
func (s *Store) recordSurvivals(result *cmdpb.Result, c *cmdpb.Command, survivals []*cmdpb.PartSurvival) {
	changed := false
	for _, survival := range survivals {
		fingerprint := ident.Fingerprint(survival.GetFingerprint())
		quarantined := s.crashes.Verdict(s.now, fingerprint) == poison.VerdictQuarantined
		changes := s.crashes.RecordSurvival(s.now, fingerprint, s.now.Add(-time.Duration(survival.GetAge())))
		changed = changed || len(changes) > 0
		if quarantined && len(changes) > 0 {
			s.appendAudit(result, c, audit.Event{
				Kind: audit.KindQuarantine, Subject: fingerprintSubject(survival.GetFingerprint()), Detail: "part of prompts answered by a target",
			})
		}
	}
	if changed {
		s.updateVerdicts()
	}
}

// handleRanAlone clears a request of the crashes recorded against it, because
// it completed while it ran alone on its target.
func (s *Store) handleRanAlone(c *cmdpb.Command, body *cmdpb.RanAlone) *cmdpb.Result {
	changes := s.crashes.RecordCompletion(s.now, ident.Fingerprint(body.GetFingerprint()))
	return s.verdictResult(c, changes, audit.Event{
		Kind: audit.KindQuarantine, Subject: fingerprintSubject(body.GetFingerprint()), Detail: "ran alone to its end",
	})
}

// clearQuarantine removes a request from the crash tracker, at the request of
// an operator.
func (s *Store) clearQuarantine(c *cmdpb.Command, body *cmdpb.ClearQuarantine) *cmdpb.Result {
	fingerprint := ident.Fingerprint(body.GetFingerprint())
	if s.crashes.Verdict(s.now, fingerprint) == poison.VerdictNone {
		return &cmdpb.Result{Status: cmdpb.Status_STATUS_NOT_FOUND, Detail: "nothing is held against the request"}
	}
	changes := s.crashes.Forget(fingerprint)
	return s.verdictResult(c, changes, audit.Event{
		Kind: audit.KindQuarantine, Request: c.GetChange(), Subject: fingerprintSubject(body.GetFingerprint()), Detail: "cleared",
	})
}

// verdictResult returns the result of a command that may have changed
// verdicts, and records the command and each changed verdict in the audit
// chain. The audit index of the result is that of the last of these entries.
func (s *Store) verdictResult(c *cmdpb.Command, changes []poison.VerdictChange, event audit.Event) *cmdpb.Result {
	result := &cmdpb.Result{Status: cmdpb.Status_STATUS_OK}
	s.recordVerdicts(result, c, changes, event)
	return result
}

// recordVerdicts is verdictResult for a command that records several events.
func (s *Store) recordVerdicts(result *cmdpb.Result, c *cmdpb.Command, changes []poison.VerdictChange, event audit.Event) {
	s.appendAudit(result, c, event)
	for _, change := range changes {
		if change.Part.Depth > 0 && change.Verdict != poison.VerdictQuarantined {
			// Most parts in flight at a crash are soon cleared; only gates follow that.
			continue
		}
		verdict := &cmdpb.Verdict{Fingerprint: uint64(change.Fingerprint), Verdict: uint32(change.Verdict)}
		verdict.Expires = unixNanos(change.Expires)
		result.Verdicts = append(result.Verdicts, verdict)
		s.appendAudit(result, c, audit.Event{
			Kind: audit.KindQuarantine, Subject: fingerprintSubject(uint64(change.Fingerprint)),
			Detail: verdictDetail(change),
		})
	}
	if len(changes) > 0 {
		s.updateVerdicts()
	}
}

// verdictDetail returns the audit detail of a changed verdict.
func verdictDetail(change poison.VerdictChange) string {
	if change.Part.Depth > 0 {
		return fmt.Sprintf("verdict %d on part %v of prompts", change.Verdict, change.Part.ID)
	}
	return fmt.Sprintf("verdict %d", change.Verdict)
}

// updateVerdicts rebuilds the list of verdicts in force and notifies the
// watchers.
func (s *Store) updateVerdicts() {
	active := s.crashes.ActiveVerdicts(s.now)
	list := make([]*wire.CrashVerdict, 0, len(active))
	for _, change := range active {
		verdict := &wire.CrashVerdict{
			Fingerprint: uint64(change.Fingerprint), Verdict: uint32(change.Verdict),
			Part: uint64(change.Part.ID), Depth: uint32(change.Part.Depth),
		}
		if change.Verdict == poison.VerdictQuarantined {
			verdict.Expires = unixNanos(change.Expires)
		}
		list = append(list, verdict)
	}
	s.verdicts = activeVerdicts{list: list, index: s.applied}
	s.notifyChanged()
}

// fingerprintSubject returns the audit subject of a request.
func fingerprintSubject(fingerprint uint64) string {
	return fmt.Sprintf("fingerprint/%016x", fingerprint)
}

// unixNanos returns t in Unix nanoseconds, or 0 for the zero time.
func unixNanos(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

// timeFromUnixNanos returns the time at nanos Unix nanoseconds, or the zero
// time for 0.
func timeFromUnixNanos(nanos int64) time.Time {
	if nanos == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanos).UTC()
}

// crashesToProto encodes the entries of the crash tracker.
func crashesToProto(state []poison.Entry) []*cmdpb.CrashEntry {
	out := make([]*cmdpb.CrashEntry, 0, len(state))
	for _, entry := range state {
		encoded := &cmdpb.CrashEntry{
			Fingerprint: uint64(entry.Fingerprint), Cleared: unixNanos(entry.Cleared), TrialBegan: unixNanos(entry.TrialBegan),
			Part: uint64(entry.Part.ID), Depth: uint32(entry.Part.Depth), Quarantined: unixNanos(entry.QuarantinedAt),
		}
		for _, site := range entry.Crashes {
			encoded.Sites = append(encoded.Sites, &cmdpb.CrashSite{
				Target: string(site.Target), Incarnation: uint64(site.Incarnation),
				Number: site.Number, Alone: site.Alone, At: unixNanos(site.At), Direct: site.Direct, Sent: unixNanos(site.Sent),
				ExplainedBy: uint64(site.ExplainedBy),
			})
		}
		out = append(out, encoded)
	}
	return out
}

// crashesFromProto decodes the entries of a crash tracker.
func crashesFromProto(in []*cmdpb.CrashEntry) []poison.Entry {
	out := make([]poison.Entry, 0, len(in))
	for _, encoded := range in {
		entry := poison.Entry{
			Fingerprint: ident.Fingerprint(encoded.GetFingerprint()),
			Cleared:     timeFromUnixNanos(encoded.GetCleared()), TrialBegan: timeFromUnixNanos(encoded.GetTrialBegan()),
			Part:          poison.Part{ID: ident.PartID(encoded.GetPart()), Depth: int(encoded.GetDepth())},
			QuarantinedAt: timeFromUnixNanos(encoded.GetQuarantined()),
		}
		for _, site := range encoded.GetSites() {
			entry.Crashes = append(entry.Crashes, poison.Crash{
				Target: ident.TargetName(site.GetTarget()), Incarnation: ident.Incarnation(site.GetIncarnation()),
				Number: site.GetNumber(), Alone: site.GetAlone(), At: timeFromUnixNanos(site.GetAt()), Direct: site.GetDirect(),
				Sent: timeFromUnixNanos(site.GetSent()), ExplainedBy: ident.Fingerprint(site.GetExplainedBy()),
			})
		}
		out = append(out, entry)
	}
	return out
}

// InFlightAtCrash returns the requests that were in flight when a target
// crashed and whose crashes have not expired.
func (s *Store) InFlightAtCrash(target ident.TargetName) []ident.Fingerprint {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.crashes.InFlightAtCrash(s.now, target)
}
