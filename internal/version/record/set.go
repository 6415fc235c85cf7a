package record

import (
	"cmp"
	"maps"
	"slices"

	"cactusline.dev/cactusline/internal/version/ident"
)

// Set is an immutable set of records at one revision, with indexes for
// lookups. The zero value is the empty set at revision 0. All methods are safe
// for concurrent use. The caller must not modify results.
type Set struct {
	revision   ident.Revision
	records    map[Key]*Record
	customers  customerIndex
	services   map[ident.ServiceName]*Service
	models     map[ident.ModelName]*Model
	routes     routeIndex
	targets    targetIndex
	departures departureIndex
}

// NewSet returns the set of the given records at a revision.
func NewSet(revision ident.Revision, records []*Record) *Set {
	// Apply fails only for a delta that is not full.
	set, err := (&Set{}).Apply(Delta{To: revision, Full: true, Records: records})
	if err != nil {
		return &Set{}
	}
	return set
}

// Apply returns the set that results from the delta. It returns the set
// unchanged if the delta does not lead to a higher revision, so that a
// revision never decreases; only the zero Set may get records at revision 0. A
// delta that starts above the set's revision is a *GapError.
func (s *Set) Apply(d Delta) (*Set, error) {
	if d.To < s.revision || (d.To == s.revision && s.records != nil) {
		return s, nil
	}
	if !d.Full && d.From > s.revision {
		return nil, &GapError{Have: s.revision, From: d.From}
	}
	next := &Set{}
	changedKinds := allKinds()
	if d.Full {
		next.records = make(map[Key]*Record, len(d.Records))
	} else {
		*next = *s
		next.records = cloneRecords(s.records)
		changedKinds = kindsOf(d)
	}
	next.revision = d.To
	for _, r := range d.Records {
		next.records[r.key] = r
	}
	for _, key := range d.Retired {
		delete(next.records, key)
	}
	next.index(changedKinds)
	return next, nil
}

// cloneRecords returns a copy of the map that is never nil.
func cloneRecords(records map[Key]*Record) map[Key]*Record {
	if records == nil {
		return make(map[Key]*Record)
	}
	return maps.Clone(records)
}

// allKinds returns every kind of record.
func allKinds() map[Kind]bool {
	kinds := make(map[Kind]bool, len(newestSchema))
	for kind := range newestSchema {
		kinds[kind] = true
	}
	return kinds
}

// kindsOf returns the kinds of the records that a delta changes or retires.
func kindsOf(d Delta) map[Kind]bool {
	kinds := make(map[Kind]bool)
	for _, r := range d.Records {
		kinds[r.key.Kind] = true
	}
	for _, key := range d.Retired {
		kinds[key.Kind] = true
	}
	return kinds
}

// Revision returns the set's revision.
func (s *Set) Revision() ident.Revision { return s.revision }

// Len returns the number of records.
func (s *Set) Len() int { return len(s.records) }

// Get returns one record.
func (s *Set) Get(key Key) (*Record, bool) {
	r, found := s.records[key]
	return r, found
}

// List returns the records of one kind sorted by name, or all records sorted
// by kind and name if the kind is empty.
func (s *Set) List(kind Kind) []*Record {
	var out []*Record
	for key, r := range s.records {
		if kind == "" || key.Kind == kind {
			out = append(out, r)
		}
	}
	SortRecords(out)
	return out
}

// FullDelta returns a delta that contains the whole set.
func (s *Set) FullDelta() Delta {
	return Delta{To: s.revision, Full: true, Records: s.List("")}
}

// CompareKeys orders keys by kind and name.
func CompareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
}

// SortRecords sorts records by kind and name.
func SortRecords(records []*Record) {
	slices.SortFunc(records, func(a, b *Record) int { return CompareKeys(a.key, b.key) })
}
