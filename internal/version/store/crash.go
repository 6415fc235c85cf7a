package store

import (
	"fmt"
	"time"

	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/process/audit"
	"cactusline.dev/cactusline/internal/request/poison"
	"cactusline.dev/cactusline/internal/version/cmdpb"
	"cactusline.dev/cactusline/internal/version/ident"
)

// verdicts holds the verdicts in force for the other processes.
type verdicts struct {
	list []*wire.CrashVerdict
	// index is the log entry that last changed them, so that lists from
	// different replicas can be put in order.
	index uint64
}

// crash takes a report of a target's crash.
func (s *Store) crash(c *cmdpb.Command, body *cmdpb.CrashReport) *cmdpb.Result {
	if body.GetTarget() == "" {
		return invalid("target must be set")
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
	return s.judged(c, changes, audit.Event{Kind: audit.KindCrash, Subject: body.GetTarget(), Detail: detail})
}

// ranAlone clears a request that ran to its end alone.
func (s *Store) ranAlone(c *cmdpb.Command, body *cmdpb.RanAlone) *cmdpb.Result {
	changes := s.crashes.RecordRanAlone(s.now, ident.Fingerprint(body.GetFingerprint()))
	return s.judged(c, changes, audit.Event{
		Kind: audit.KindQuarantine, Subject: hex(body.GetFingerprint()), Detail: "ran alone to its end",
	})
}

// clear forgets all that is held against a request.
func (s *Store) clear(c *cmdpb.Command, body *cmdpb.ClearQuarantine) *cmdpb.Result {
	fingerprint := ident.Fingerprint(body.GetFingerprint())
	if s.crashes.Verdict(s.now, fingerprint) == poison.VerdictNone {
		return &cmdpb.Result{Status: cmdpb.Status_STATUS_NOT_FOUND, Detail: "nothing is held against the request"}
	}
	var kept []poison.Entry
	for _, entry := range s.crashes.Entries() {
		if entry.Fingerprint != fingerprint {
			kept = append(kept, entry)
		}
	}
	s.crashes = poison.NewTracker(s.cfg.Poison)
	s.crashes.Merge(kept)
	changes := []poison.VerdictChange{{Fingerprint: fingerprint}}
	return s.judged(c, changes, audit.Event{
		Kind: audit.KindQuarantine, Request: c.GetChange(), Subject: hex(body.GetFingerprint()), Detail: "cleared",
	})
}

// judged returns the result of a step that changed verdicts and records it.
func (s *Store) judged(c *cmdpb.Command, changes []poison.VerdictChange, event audit.Event) *cmdpb.Result {
	result := &cmdpb.Result{Status: cmdpb.Status_STATUS_OK}
	s.record(result, c, event)
	for _, change := range changes {
		verdict := &cmdpb.Verdict{Fingerprint: uint64(change.Fingerprint), Verdict: uint32(change.Verdict)}
		verdict.Expires = nanos(change.Expires)
		result.Verdicts = append(result.Verdicts, verdict)
		s.record(result, c, audit.Event{
			Kind: audit.KindQuarantine, Subject: hex(uint64(change.Fingerprint)),
			Detail: fmt.Sprintf("verdict %d", change.Verdict),
		})
	}
	if len(changes) > 0 {
		s.verdictsChanged()
	}
	return result
}

// verdictsChanged renews the verdicts for the other processes.
func (s *Store) verdictsChanged() {
	changes := s.crashes.ActiveVerdicts(s.now)
	list := make([]*wire.CrashVerdict, 0, len(changes))
	for _, change := range changes {
		list = append(list, &wire.CrashVerdict{
			Fingerprint: uint64(change.Fingerprint), Verdict: uint32(change.Verdict),
		})
	}
	s.verdicts = verdicts{list: list, index: s.applied}
	s.notify()
}

// hex returns a fingerprint as it stands in the audit log.
func hex(fingerprint uint64) string {
	return fmt.Sprintf("fingerprint/%016x", fingerprint)
}

// nanos returns a time in Unix nanoseconds, 0 for the zero time.
func nanos(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

// timeOf returns the time of Unix nanoseconds, the zero time for 0.
func timeOf(nanos int64) time.Time {
	if nanos == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanos).UTC()
}

// encodeCrashes writes the state of the tracker.
func encodeCrashes(state []poison.Entry) []*cmdpb.CrashEntry {
	out := make([]*cmdpb.CrashEntry, 0, len(state))
	for _, entry := range state {
		encoded := &cmdpb.CrashEntry{Fingerprint: uint64(entry.Fingerprint), Cleared: nanos(entry.Cleared)}
		for _, site := range entry.Crashes {
			encoded.Sites = append(encoded.Sites, &cmdpb.CrashSite{
				Target: string(site.Target), Incarnation: uint64(site.Incarnation),
				Number: site.Number, Alone: site.Alone, At: nanos(site.At),
			})
		}
		out = append(out, encoded)
	}
	return out
}

// decodeCrashes reads the state of a tracker.
func decodeCrashes(in []*cmdpb.CrashEntry) []poison.Entry {
	out := make([]poison.Entry, 0, len(in))
	for _, encoded := range in {
		entry := poison.Entry{Fingerprint: ident.Fingerprint(encoded.GetFingerprint()), Cleared: timeOf(encoded.GetCleared())}
		for _, site := range encoded.GetSites() {
			entry.Crashes = append(entry.Crashes, poison.Crash{
				Target: ident.TargetName(site.GetTarget()), Incarnation: ident.Incarnation(site.GetIncarnation()),
				Number: site.GetNumber(), Alone: site.GetAlone(), At: timeOf(site.GetAt()),
			})
		}
		out = append(out, entry)
	}
	return out
}

// InFlightAtCrash returns the requests that were in flight when a target crashed, as
// far as they still count.
func (s *Store) InFlightAtCrash(target ident.TargetName) []ident.Fingerprint {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.crashes.InFlightAtCrash(s.now, target)
}
