package lint

import (
	"fmt"
	"slices"
	"strings"

	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/route"
)

// Action says what happened to an entry of a document.
type Action string

// The actions.
const (
	Added   Action = "added"
	Removed Action = "removed"
	Changed Action = "changed"
)

// Change is the difference of one entry between two documents.
type Change struct {
	// Location names the entry, such as "route NAME".
	Location string
	Action   Action
	// Fields are the fields that differ, if the entry is in both documents.
	Fields []FieldChange `json:",omitempty"`
}

// FieldChange is a field with its values as text. Keys of customers are only counted.
type FieldChange struct {
	Field string
	Old   string
	New   string
}

// String returns the change on one line.
func (c Change) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s", c.Action, c.Location)
	for i, f := range c.Fields {
		separator := ", "
		if i == 0 {
			separator = ": "
		}
		fmt.Fprintf(&text, "%s%s %s -> %s", separator, f.Field, f.Old, f.New)
	}
	return text.String()
}

// entry is a part of a document in the form in which two are compared.
type entry struct {
	location string
	fields   []field
	// keys are compared as a set and never shown.
	keys []string
}

type field struct {
	name  string
	value string
}

// Compare returns the changes from one valid document to another, except that of the
// version: those of routes, services, customers and limits, each in the order of next
// with the removed ones last. Entries are the same if their names are.
func Compare(old, next *route.Document) []Change {
	changes := compareEntries(entries(old.Routes, routeEntry), entries(next.Routes, routeEntry))
	changes = append(changes, compareEntries(entries(old.Services, serviceEntry), entries(next.Services, serviceEntry))...)
	changes = append(changes, compareEntries(entries(old.Customers, customerEntry), entries(next.Customers, customerEntry))...)
	return append(changes, compareEntries([]entry{limitsEntry(&old.Limits)}, []entry{limitsEntry(&next.Limits)})...)
}

// entries converts a list. The second and later entries of one name get a number, so that
// each is compared with its counterpart.
func entries[T any](list []T, convert func(*T) entry) []entry {
	seen := make(map[string]int)
	out := make([]entry, 0, len(list))
	for i := range list {
		e := convert(&list[i])
		seen[e.location]++
		if n := seen[e.location]; n > 1 {
			e.location = fmt.Sprintf("%s (%d)", e.location, n)
		}
		out = append(out, e)
	}
	return out
}

func compareEntries(old, next []entry) []Change {
	oldByLocation := make(map[string]*entry, len(old))
	for i := range old {
		oldByLocation[old[i].location] = &old[i]
	}
	var changes []Change
	for i := range next {
		before, found := oldByLocation[next[i].location]
		delete(oldByLocation, next[i].location)
		if !found {
			changes = append(changes, Change{Location: next[i].location, Action: Added})
		} else if fields := compareFields(before, &next[i]); len(fields) > 0 {
			changes = append(changes, Change{Location: next[i].location, Action: Changed, Fields: fields})
		}
	}
	for i := range old {
		if _, left := oldByLocation[old[i].location]; left {
			changes = append(changes, Change{Location: old[i].location, Action: Removed})
		}
	}
	return changes
}

// compareFields returns the fields that differ. Entries of one kind have the same fields.
func compareFields(old, next *entry) []FieldChange {
	var changes []FieldChange
	for i, f := range next.fields {
		if before := old.fields[i].value; before != f.value {
			changes = append(changes, FieldChange{Field: f.name, Old: before, New: f.value})
		}
	}
	added, removed := countMissing(next.keys, old.keys), countMissing(old.keys, next.keys)
	if added+removed > 0 {
		changes = append(changes, FieldChange{
			Field: "Keys", Old: fmt.Sprint(len(old.keys)),
			New: fmt.Sprintf("%d (%d added, %d removed)", len(next.keys), added, removed),
		})
	}
	return changes
}

// countMissing returns how many of the keys are not in the others.
func countMissing(keys, others []string) int {
	known := make(map[string]bool, len(others))
	for _, key := range others {
		known[key] = true
	}
	missing := 0
	for _, key := range keys {
		if !known[key] {
			missing++
		}
	}
	return missing
}

func routeEntry(r *route.Route) entry {
	shares := make([]string, 0, len(r.Split))
	for _, share := range r.Split {
		shares = append(shares, fmt.Sprintf("%s:%d", share.Service, share.Weight))
	}
	return entry{location: routeLocation(r), fields: []field{
		{"Host", fmt.Sprintf("%q", strings.ToLower(r.Host))},
		{"Prefix", r.Prefix},
		{"Kind", r.Kind.String()},
		{"Timeout", r.Timeout.String()},
		{"LatencyObjective", r.LatencyObjective.String()},
		{"Priority", fmt.Sprint(r.Priority)},
		{"Attempts", fmt.Sprint(r.Attempts)},
		{"Public", fmt.Sprint(r.Public)},
		{"Resumable", fmt.Sprint(r.Resumable)},
		{"Split", strings.Join(shares, " ")},
		{"HomeRegions", regionsText(r.HomeRegions)},
	}}
}

func serviceEntry(s *route.Service) entry {
	return entry{location: "service " + string(s.Name), fields: []field{
		{"ColdPeriod", s.ColdPeriod.String()},
		{"ColdRate", fmt.Sprint(s.ColdRate)},
		{"TokenCapacity", fmt.Sprint(s.TokenCapacity)},
	}}
}

func customerEntry(c *route.Customer) entry {
	priority := "that of the route"
	if c.HasPriority {
		priority = fmt.Sprint(c.Priority)
	}
	return entry{location: customerLocation(c), keys: c.Keys, fields: []field{
		{"Priority", priority},
		{"HomeRegions", regionsText(c.HomeRegions)},
	}}
}

func limitsEntry(l *route.Limits) entry {
	return entry{location: "limits", fields: []field{
		{"MaxHeader", fmt.Sprint(l.MaxHeader)},
		{"MaxBody", fmt.Sprint(l.MaxBody)},
		{"HeaderTimeout", l.HeaderTimeout.String()},
		{"IdleTimeout", l.IdleTimeout.String()},
	}}
}

// regionsText returns the regions in sorted order, as their order has no meaning.
func regionsText(regions []ident.RegionName) string {
	if len(regions) == 0 {
		return "any"
	}
	return fmt.Sprint(slices.Sorted(slices.Values(regions)))
}
