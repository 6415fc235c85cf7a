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

// Bounds of one change.
const (
	maxChangeRecords = 4096
	maxRecordBytes   = 64 << 10
)

// floors holds, by kind, the highest version that any retired record had. New
// records start above it, so that no version of a name ever stands twice.
type floors map[record.Kind]ident.Version

// raise notes that a record is retired.
func (f floors) raise(r *record.Record) {
	kind := r.Key().Kind
	f[kind] = max(f[kind], r.Version())
}

// draft is a change of records that is being worked out.
type draft struct {
	records   []*record.Record
	retired   []record.Key
	committed []*cmdpb.RecordVersion
	conflicts []*cmdpb.Conflict
	faults    []*cmdpb.Fault
	seen      map[record.Key]bool
}

func newDraft() *draft {
	return &draft{seen: make(map[record.Key]bool)}
}

// fault notes something wrong with a record.
func (d *draft) fault(name, field, problem string) {
	d.faults = append(d.faults, &cmdpb.Fault{Record: name, Field: field, Problem: problem})
}

// addFaults notes the faults in an error.
func (d *draft) addFaults(name string, err error) {
	var faults *record.Faults
	if !errors.As(err, &faults) {
		d.fault(name, "", err.Error())
		return
	}
	for _, fault := range faults.List {
		if fault.Record == "" || fault.Record == "/" {
			fault.Record = name
		}
		d.fault(fault.Record, fault.Field, fault.Problem)
	}
}

// once notes a key and reports a fault if it stood before.
func (d *draft) once(key record.Key) bool {
	if d.seen[key] {
		d.fault(key.String(), "", "stands twice in the change")
		return false
	}
	d.seen[key] = true
	return true
}

// conflict notes that a record has moved on from the wanted version.
func (d *draft) conflict(key record.Key, wanted ident.Version, current *record.Record) {
	conflict := &cmdpb.Conflict{Wanted: versionOf(key, wanted)}
	if current != nil {
		conflict.Winner = current.JSON()
	}
	d.conflicts = append(d.conflicts, conflict)
}

// put adds a record as it will be committed.
func (d *draft) put(r *record.Record, version ident.Version) {
	next, err := r.WithVersion(version)
	if err != nil {
		d.fault(r.Key().String(), "", err.Error())
		return
	}
	d.records = append(d.records, next)
	d.committed = append(d.committed, versionOf(r.Key(), version))
}

// keep notes that a record already is as wanted.
func (d *draft) keep(current *record.Record) {
	d.committed = append(d.committed, versionOf(current.Key(), current.Version()))
}

func versionOf(key record.Key, version ident.Version) *cmdpb.RecordVersion {
	return &cmdpb.RecordVersion{Kind: string(key.Kind), Name: key.Name, Version: uint64(version)}
}

// applyRecords creates and amends records.
func (s *Store) applyRecords(c *cmdpb.Command, body *cmdpb.ApplyRecords) *cmdpb.Result {
	if n := len(body.GetRecords()); n == 0 || n > maxChangeRecords {
		return invalid(fmt.Sprintf("change of %d records, want 1 to %d", n, maxChangeRecords))
	}
	d := newDraft()
	for i, data := range body.GetRecords() {
		name := fmt.Sprintf("record %d", i+1)
		if len(data) > maxRecordBytes {
			d.fault(name, "", fmt.Sprintf("is larger than %d bytes", maxRecordBytes))
			continue
		}
		r, err := record.Parse(data)
		if err != nil {
			d.addFaults(name, err)
			continue
		}
		s.amend(d, r)
	}
	return s.commit(c, d, audit.KindApply)
}

// amend works out what becomes of one submitted record.
func (s *Store) amend(d *draft, r *record.Record) {
	if !d.once(r.Key()) {
		return
	}
	current, found := s.set.Load().Get(r.Key())
	switch {
	case found && isCommitted(r, current):
		d.keep(current)
	case found && r.Version() == current.Version():
		d.put(r, current.Version()+1)
	case !found && r.Version() == 0:
		d.put(r, s.floors[r.Key().Kind]+1)
	default:
		d.conflict(r.Key(), r.Version(), current)
	}
}

// isCommitted reports whether the current record is what the submitted one
// asks for: the same content, in the version amended or the one after.
func isCommitted(r, current *record.Record) bool {
	wanted := r.Version()
	if wanted != 0 && wanted != current.Version() && wanted+1 != current.Version() {
		return false
	}
	return r.SameContent(current)
}

// retireRecords takes records away.
func (s *Store) retireRecords(c *cmdpb.Command, body *cmdpb.RetireRecords) *cmdpb.Result {
	if n := len(body.GetRecords()); n == 0 || n > maxChangeRecords {
		return invalid(fmt.Sprintf("change of %d records, want 1 to %d", n, maxChangeRecords))
	}
	d := newDraft()
	missing := 0
	for _, wanted := range body.GetRecords() {
		key := record.Key{Kind: record.Kind(wanted.GetKind()), Name: wanted.GetName()}
		if !d.once(key) {
			continue
		}
		current, found := s.set.Load().Get(key)
		version := ident.Version(wanted.GetVersion())
		if !found {
			missing++
		}
		if !found || current.Version() != version {
			d.conflict(key, version, current)
			continue
		}
		d.retired = append(d.retired, key)
		d.committed = append(d.committed, versionOf(key, version))
	}
	result := s.commit(c, d, audit.KindRetire)
	if result.GetStatus() == cmdpb.Status_STATUS_CONFLICT && missing == len(d.conflicts) {
		result.Status = cmdpb.Status_STATUS_NOT_FOUND
	}
	return result
}

// drain plans or cancels a departure.
func (s *Store) drain(c *cmdpb.Command, body *cmdpb.Drain) *cmdpb.Result {
	r, err := departure(body)
	if err != nil {
		return invalid(err.Error())
	}
	d := newDraft()
	current, found := s.set.Load().Get(r.Key())
	switch {
	case found && body.GetCancel():
		d.retired = append(d.retired, r.Key())
		d.committed = append(d.committed, versionOf(r.Key(), current.Version()))
		return s.commit(c, d, audit.KindUndrain)
	case body.GetCancel():
		return s.commit(c, d, audit.KindUndrain)
	case found:
		d.keep(current)
	case !s.known(body):
		return &cmdpb.Result{Status: cmdpb.Status_STATUS_NOT_FOUND, Detail: r.Key().Name + " is unknown"}
	default:
		d.put(r, s.floors[record.KindDeparture]+1)
	}
	return s.commit(c, d, audit.KindDrain)
}

// departure returns the record that a drain asks for.
func departure(body *cmdpb.Drain) (*record.Record, error) {
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

// known reports whether what is to depart is in the records.
func (s *Store) known(body *cmdpb.Drain) bool {
	if body.GetVm() != "" {
		return len(s.set.Load().TargetsOn(ident.VMName(body.GetVm()))) > 0
	}
	_, found := s.set.Load().Target(ident.TargetName(body.GetTarget()))
	return found
}

// commit makes a draft the next revision, or refuses it whole.
func (s *Store) commit(c *cmdpb.Command, d *draft, kind audit.Kind) *cmdpb.Result {
	if len(d.faults) > 0 {
		return s.refuse(c, d, cmdpb.Status_STATUS_INVALID)
	}
	if len(d.conflicts) > 0 {
		return s.refuse(c, d, cmdpb.Status_STATUS_CONFLICT)
	}
	if len(d.records)+len(d.retired) > 0 {
		next, err := s.next(d)
		if err != nil {
			d.addFaults("", err)
			return s.refuse(c, d, cmdpb.Status_STATUS_INVALID)
		}
		s.publish(d, next)
	}
	result := &cmdpb.Result{Status: cmdpb.Status_STATUS_OK, Revision: s.revision(), Committed: d.committed}
	return s.record(result, c, audit.Event{
		Kind: kind, Request: c.GetChange(), Subject: d.subject(),
		Detail: fmt.Sprintf("revision %d", s.revision()),
	})
}

// next returns the set that follows by a draft, checked.
func (s *Store) next(d *draft) (*record.Set, error) {
	current := s.set.Load()
	next, err := current.Apply(record.Delta{
		From: current.Revision(), To: current.Revision() + 1,
		Records: d.records, Retired: d.retired,
	})
	if err != nil {
		return nil, fmt.Errorf("next revision: %w", err)
	}
	return next, next.Check()
}

// publish makes a set the current one.
func (s *Store) publish(d *draft, next *record.Set) {
	for _, key := range d.retired {
		if r, found := s.set.Load().Get(key); found {
			s.floors.raise(r)
		}
	}
	keys := append([]record.Key(nil), d.retired...)
	for _, r := range d.records {
		keys = append(keys, r.Key())
	}
	s.history.push(next.Revision(), keys)
	s.set.Store(next)
	s.notify()
}

// refuse returns the result of a draft that is not committed.
func (s *Store) refuse(c *cmdpb.Command, d *draft, status cmdpb.Status) *cmdpb.Result {
	result := &cmdpb.Result{Status: status, Revision: s.revision(), Conflicts: d.conflicts, Faults: d.faults}
	detail := fmt.Sprintf("%d conflicts, %d faults", len(d.conflicts), len(d.faults))
	return s.record(result, c, audit.Event{
		Kind: audit.KindRefused, Request: c.GetChange(), Subject: d.subject(), Detail: detail,
	})
}

// subject names the records of the draft with the versions they get.
func (d *draft) subject() string {
	names := make([]string, 0, len(d.committed))
	for _, r := range d.committed {
		names = append(names, fmt.Sprintf("%s/%s@%d", r.GetKind(), r.GetName(), r.GetVersion()))
	}
	for _, conflict := range d.conflicts {
		wanted := conflict.GetWanted()
		names = append(names, fmt.Sprintf("%s/%s@%d", wanted.GetKind(), wanted.GetName(), wanted.GetVersion()))
	}
	return strings.Join(names, " ")
}
