package store

import (
	"errors"
	"fmt"
	"strings"

	"cactusline.dev/cactusline/internal/process/audit"
	"cactusline.dev/cactusline/internal/version/cmdpb"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/record"
)

// Limits of one change.
const (
	maxChangeRecords = 4096
	maxRecordBytes   = 64 << 10
)

// retiredVersions holds, for each kind, the highest version of any retired
// record. New records of the kind start above it, so that a name never has the
// same version twice.
type retiredVersions map[record.Kind]ident.Version

// raise raises the highest retired version of the record's kind to that of a
// record that is being retired.
func (v retiredVersions) raise(r *record.Record) {
	kind := r.Key().Kind
	v[kind] = max(v[kind], r.Version())
}

// draft collects the outcome of a change until it is committed or refused as a
// whole.
type draft struct {
	records        []*record.Record
	retired        []record.Key
	resultVersions []*cmdpb.RecordVersion // new, retired and unchanged records, for the result
	conflicts      []*cmdpb.Conflict
	faults         []*cmdpb.Fault
	seen           map[record.Key]bool // keys in the change
}

func newDraft() *draft {
	return &draft{seen: make(map[record.Key]bool)}
}

// addFault adds a problem with a field of a record.
func (d *draft) addFault(name, field, problem string) {
	d.faults = append(d.faults, &cmdpb.Fault{Record: name, Field: field, Problem: problem})
}

// addFaultsFrom adds the faults that an error holds. Faults that name no
// record are attributed to name.
func (d *draft) addFaultsFrom(name string, err error) {
	var faults *record.Faults
	if !errors.As(err, &faults) {
		d.addFault(name, "", err.Error())
		return
	}
	for _, fault := range faults.List {
		// "/" is the key of a record without kind and name.
		if fault.Record == "" || fault.Record == "/" {
			fault.Record = name
		}
		d.addFault(fault.Record, fault.Field, fault.Problem)
	}
}

// markSeen records that the change contains a key. It adds a fault and returns
// false if the key was already in the change.
func (d *draft) markSeen(key record.Key) bool {
	if d.seen[key] {
		d.addFault(key.String(), "", "stands twice in the change")
		return false
	}
	d.seen[key] = true
	return true
}

// addConflict records that the current version of a record is not the one that
// the change expected. current is nil if the record does not exist.
func (d *draft) addConflict(key record.Key, wanted ident.Version, current *record.Record) {
	conflict := &cmdpb.Conflict{Wanted: newRecordVersion(key, wanted)}
	if current != nil {
		conflict.Winner = current.JSON()
	}
	d.conflicts = append(d.conflicts, conflict)
}

// putRecord adds a record to commit under the given version.
func (d *draft) putRecord(r *record.Record, version ident.Version) {
	next, err := r.WithVersion(version)
	if err != nil {
		d.addFault(r.Key().String(), "", err.Error())
		return
	}
	d.records = append(d.records, next)
	d.resultVersions = append(d.resultVersions, newRecordVersion(r.Key(), version))
}

// keepRecord records that the current record already has the requested
// content.
func (d *draft) keepRecord(current *record.Record) {
	d.resultVersions = append(d.resultVersions, newRecordVersion(current.Key(), current.Version()))
}

func newRecordVersion(key record.Key, version ident.Version) *cmdpb.RecordVersion {
	return &cmdpb.RecordVersion{Kind: string(key.Kind), Name: key.Name, Version: uint64(version)}
}

// applyRecords creates and updates records.
func (s *Store) applyRecords(c *cmdpb.Command, body *cmdpb.ApplyRecords) *cmdpb.Result {
	if n := len(body.GetRecords()); n == 0 || n > maxChangeRecords {
		return invalidResult(fmt.Sprintf("change of %d records, want 1 to %d", n, maxChangeRecords))
	}
	d := newDraft()
	for i, data := range body.GetRecords() {
		name := fmt.Sprintf("record %d", i+1)
		if len(data) > maxRecordBytes {
			d.addFault(name, "", fmt.Sprintf("is larger than %d bytes", maxRecordBytes))
			continue
		}
		r, err := record.Parse(data)
		if err != nil {
			d.addFaultsFrom(name, err)
			continue
		}
		s.draftRecord(d, r)
	}
	return s.commit(c, d, audit.KindApply)
}

// draftRecord adds one submitted record to the draft: as a new or updated
// record, as unchanged, or as a conflict.
func (s *Store) draftRecord(d *draft, r *record.Record) {
	if !d.markSeen(r.Key()) {
		return
	}
	current, found := s.records.Load().Get(r.Key())
	switch {
	case found && alreadyApplied(r, current):
		d.keepRecord(current)
	case found && r.Version() == current.Version():
		d.putRecord(r, current.Version()+1)
	case !found && r.Version() == 0:
		d.putRecord(r, s.retiredVersions[r.Key().Kind]+1)
	default:
		d.addConflict(r.Key(), r.Version(), current)
	}
}

// alreadyApplied reports whether the current record is the result of the
// submitted one: it has the same content, and its version is the submitted
// version or the next one. A submitted version of 0 matches any version.
func alreadyApplied(r, current *record.Record) bool {
	wanted := r.Version()
	if wanted != 0 && wanted != current.Version() && wanted+1 != current.Version() {
		return false
	}
	return r.SameContent(current)
}

// retireRecords removes records.
func (s *Store) retireRecords(c *cmdpb.Command, body *cmdpb.RetireRecords) *cmdpb.Result {
	if n := len(body.GetRecords()); n == 0 || n > maxChangeRecords {
		return invalidResult(fmt.Sprintf("change of %d records, want 1 to %d", n, maxChangeRecords))
	}
	d := newDraft()
	notFound := 0
	for _, wanted := range body.GetRecords() {
		key := record.Key{Kind: record.Kind(wanted.GetKind()), Name: wanted.GetName()}
		if !d.markSeen(key) {
			continue
		}
		current, found := s.records.Load().Get(key)
		version := ident.Version(wanted.GetVersion())
		if !found {
			notFound++
		}
		if !found || current.Version() != version {
			d.addConflict(key, version, current)
			continue
		}
		d.retired = append(d.retired, key)
		d.resultVersions = append(d.resultVersions, newRecordVersion(key, version))
	}
	result := s.commit(c, d, audit.KindRetire)
	// If no record of the conflicts exists, the result is NOT_FOUND instead.
	if result.GetStatus() == cmdpb.Status_STATUS_CONFLICT && notFound == len(d.conflicts) {
		result.Status = cmdpb.Status_STATUS_NOT_FOUND
	}
	return result
}

// drain creates the departure record of a target or VM, or removes it if
// Cancel is set. Canceling a drain that does not exist succeeds and changes
// nothing.
func (s *Store) drain(c *cmdpb.Command, body *cmdpb.Drain) *cmdpb.Result {
	r, err := departureRecord(body)
	if err != nil {
		return invalidResult(err.Error())
	}
	d := newDraft()
	current, found := s.records.Load().Get(r.Key())
	switch {
	case found && body.GetCancel():
		d.retired = append(d.retired, r.Key())
		d.resultVersions = append(d.resultVersions, newRecordVersion(r.Key(), current.Version()))
		return s.commit(c, d, audit.KindUndrain)
	case body.GetCancel():
		return s.commit(c, d, audit.KindUndrain)
	case found:
		d.keepRecord(current)
	case !s.drainSubjectExists(body):
		return &cmdpb.Result{Status: cmdpb.Status_STATUS_NOT_FOUND, Detail: r.Key().Name + " is unknown"}
	default:
		d.putRecord(r, s.retiredVersions[record.KindDeparture]+1)
	}
	return s.commit(c, d, audit.KindDrain)
}

// departureRecord returns the record that a drain command describes.
func departureRecord(body *cmdpb.Drain) (*record.Record, error) {
	value := &record.Departure{
		Name:   "target/" + body.GetTarget(),
		Target: ident.TargetName(body.GetTarget()),
		VM:     ident.VMName(body.GetVm()),
		Reason: body.GetReason(),
	}
	if body.GetVm() != "" {
		value.Name = "vm/" + body.GetVm()
	}
	r, err := record.New(value)
	if err != nil {
		return nil, fmt.Errorf("departure: %w", err)
	}
	return r, nil
}

// drainSubjectExists reports whether the records contain the target to be
// drained, or any target on the VM to be drained.
func (s *Store) drainSubjectExists(body *cmdpb.Drain) bool {
	if body.GetVm() != "" {
		return len(s.records.Load().TargetsOn(ident.VMName(body.GetVm()))) > 0
	}
	_, found := s.records.Load().Target(ident.TargetName(body.GetTarget()))
	return found
}

// commit makes a draft the next revision, or refuses it as a whole. A draft
// without changes keeps the current revision.
func (s *Store) commit(c *cmdpb.Command, d *draft, kind audit.Kind) *cmdpb.Result {
	if len(d.faults) > 0 {
		return s.refuse(c, d, cmdpb.Status_STATUS_INVALID)
	}
	if len(d.conflicts) > 0 {
		return s.refuse(c, d, cmdpb.Status_STATUS_CONFLICT)
	}
	if len(d.records)+len(d.retired) > 0 {
		next, err := s.nextSet(d)
		if err != nil {
			d.addFaultsFrom("", err)
			return s.refuse(c, d, cmdpb.Status_STATUS_INVALID)
		}
		s.publish(d, next)
	}
	result := &cmdpb.Result{Status: cmdpb.Status_STATUS_OK, Revision: s.revision(), Committed: d.resultVersions}
	return s.appendAudit(result, c, audit.Event{
		Kind: kind, Request: c.GetChange(), Subject: d.auditSubject(),
		Detail: fmt.Sprintf("revision %d", s.revision()),
	})
}

// nextSet returns the set of the next revision and checks it.
func (s *Store) nextSet(d *draft) (*record.Set, error) {
	current := s.records.Load()
	next, err := current.Apply(record.Delta{
		From: current.Revision(), To: current.Revision() + 1,
		Records: d.records, Retired: d.retired,
	})
	if err != nil {
		return nil, fmt.Errorf("next revision: %w", err)
	}
	return next, next.Check()
}

// publish makes next the current set, and updates the history and the highest
// retired versions.
func (s *Store) publish(d *draft, next *record.Set) {
	for _, key := range d.retired {
		if r, found := s.records.Load().Get(key); found {
			s.retiredVersions.raise(r)
		}
	}
	keys := append([]record.Key(nil), d.retired...)
	for _, r := range d.records {
		keys = append(keys, r.Key())
	}
	s.history.push(next.Revision(), keys)
	s.records.Store(next)
	s.notifyChanged()
}

// refuse returns the result of a draft that is not committed, and records it
// in the audit chain.
func (s *Store) refuse(c *cmdpb.Command, d *draft, status cmdpb.Status) *cmdpb.Result {
	result := &cmdpb.Result{Status: status, Revision: s.revision(), Conflicts: d.conflicts, Faults: d.faults}
	detail := fmt.Sprintf("%d conflicts, %d faults", len(d.conflicts), len(d.faults))
	return s.appendAudit(result, c, audit.Event{
		Kind: audit.KindRefused, Request: c.GetChange(), Subject: d.auditSubject(), Detail: detail,
	})
}

// auditSubject lists the records of the draft with their committed or expected
// versions.
func (d *draft) auditSubject() string {
	names := make([]string, 0, len(d.resultVersions))
	for _, r := range d.resultVersions {
		names = append(names, fmt.Sprintf("%s/%s@%d", r.GetKind(), r.GetName(), r.GetVersion()))
	}
	for _, conflict := range d.conflicts {
		wanted := conflict.GetWanted()
		names = append(names, fmt.Sprintf("%s/%s@%d", wanted.GetKind(), wanted.GetName(), wanted.GetVersion()))
	}
	return strings.Join(names, " ")
}
