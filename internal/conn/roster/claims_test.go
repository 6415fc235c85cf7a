package roster_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/conn/roster"
	"cactusline.dev/cactusline/internal/version/ident"
)

// claimsReader resolves lists that are read half a second apart.
type claimsReader struct {
	claims   roster.Claims
	now      time.Time
	named    []ident.ServiceName
	recorded []ident.ServiceName
}

// read returns the services under which targets are published, by their names.
func (r *claimsReader) read(list ...roster.Target) map[ident.TargetName]ident.ServiceName {
	r.now = r.now.Add(500 * time.Millisecond)
	resolved, _ := r.claims.Resolve(r.now, list, roster.Standing{
		Named:    func(s ident.ServiceName) bool { return slices.Contains(r.named, s) },
		Recorded: func(s ident.ServiceName) bool { return slices.Contains(r.recorded, s) },
	})
	services := map[ident.TargetName]ident.ServiceName{}
	for _, target := range resolved {
		services[target.Name] = target.Service
	}
	return services
}

func entryOf(service ident.ServiceName) roster.Target {
	return roster.Target{Name: "i-1", Service: service, Address: "10.0.0.1:80"}
}

type published = map[ident.TargetName]ident.ServiceName

// Guards against targets that get no requests, because an entry of another writer under a
// service that no document names comes first.
func TestEntryOfAnUnnamedServiceTakesNoTarget(t *testing.T) {
	r := &claimsReader{named: []ident.ServiceName{"app"}}
	assert.DeepEqual(t, r.read(entryOf("monitor"), entryOf("app")), published{"i-1": "app"})
	assert.DeepEqual(t, r.read(entryOf("app"), entryOf("monitor"), entryOf("other")), published{"i-1": "app"})
}

// Guards against targets of a service that wait for a document when it comes to name it.
func TestEntryOfAnUnnamedServiceNamesItsOwnTarget(t *testing.T) {
	r := &claimsReader{}
	assert.DeepEqual(t, r.read(entryOf("app")), published{"i-1": "app"})
	// It was the only one.
	assert.DeepEqual(t, r.read(entryOf("monitor"), entryOf("app")), published{"i-1": "app"})
}

// Guards against requests that run at a target of another service, because a document comes to
// name the service of another writer.
func TestTargetStaysWithItsServiceWhenAnotherOneIsNamedLater(t *testing.T) {
	both := []roster.Target{entryOf("monitor"), entryOf("app")}
	t.Run("with a history", func(t *testing.T) {
		r := &claimsReader{named: []ident.ServiceName{"app"}}
		r.read(both...)
		r.named = append(r.named, "monitor")
		for range 200 {
			assert.DeepEqual(t, r.read(both...), published{"i-1": "app"})
		}
	})
	t.Run("at another reader", func(t *testing.T) {
		r := &claimsReader{named: []ident.ServiceName{"app", "monitor"}, recorded: []ident.ServiceName{"app"}}
		assert.DeepEqual(t, r.read(both...), published{"i-1": "app"})
	})
	t.Run("nothing is known", func(t *testing.T) {
		r := &claimsReader{named: []ident.ServiceName{"app", "monitor"}}
		assert.DeepEqual(t, r.read(both...), published{})
		r.recorded = []ident.ServiceName{"app", "monitor"}
		assert.DeepEqual(t, r.read(both...), published{})
		// The other entry is gone.
		assert.DeepEqual(t, r.read(entryOf("app")), published{"i-1": "app"})
	})
	t.Run("before any document", func(t *testing.T) {
		r := &claimsReader{}
		assert.DeepEqual(t, r.read(both...), published{})
		r.named = []ident.ServiceName{"app"}
		assert.DeepEqual(t, r.read(both...), published{"i-1": "app"})
	})
}

// Guards against requests that run at a target which has left its service, because the entry
// of another writer is the only one that is left.
func TestTargetThatLeavesIsNotTakenByAnotherService(t *testing.T) {
	r := &claimsReader{named: []ident.ServiceName{"app"}}
	r.read(entryOf("monitor"), entryOf("app"))
	r.named = append(r.named, "monitor")
	for range 100 {
		assert.DeepEqual(t, r.read(entryOf("monitor")), published{})
	}
	for range 100 {
		r.read(entryOf("monitor"))
	}
	// A minute later.
	assert.DeepEqual(t, r.read(entryOf("monitor")), published{"i-1": "monitor"})
}

func TestTargetMovesToAnotherService(t *testing.T) {
	r := &claimsReader{named: []ident.ServiceName{"app", "next"}}
	assert.DeepEqual(t, r.read(entryOf("app")), published{"i-1": "app"})
	// One entry at each read.
	assert.DeepEqual(t, r.read(entryOf("next")), published{"i-1": "next"})
}

// Guards against requests to a target that leaves, because pages that were read before it left
// list it as ready.
func TestEntriesOfOneServiceAreMerged(t *testing.T) {
	now := time.Unix(1000, 0)
	all := func(ident.ServiceName) bool { return true }
	standing := roster.Standing{Named: all, Recorded: all}
	ready, leaving, elsewhere := entryOf("app"), entryOf("app"), entryOf("app")
	leaving.Leaving, leaving.ColdUntil = true, now
	elsewhere.Address, elsewhere.Leaving = "10.0.0.2:80", true
	for _, list := range [][]roster.Target{{ready, elsewhere, leaving}, {leaving, ready}} {
		resolved, unresolved := new(roster.Claims).Resolve(now, list, standing)
		assert.DeepEqual(t, resolved, []roster.Target{leaving})
		assert.Equal(t, len(unresolved), 0)
	}
	resolved, _ := new(roster.Claims).Resolve(now, []roster.Target{ready, elsewhere}, standing)
	// The first address holds.
	assert.DeepEqual(t, resolved, []roster.Target{ready})
}
