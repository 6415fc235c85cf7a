package roster

import (
	"slices"
	"sync"
	"time"

	"cactusline.dev/cactusline/internal/version/ident"
)

// claimRetention is how long the service of a target is remembered after it was last listed.
// A target that left the list may still run requests for most of that time.
const claimRetention = time.Minute

// Standing tells what is known of services beside the list.
type Standing struct {
	// Named reports whether the routing document names a service.
	Named func(service ident.ServiceName) bool
	// Recorded reports whether a quorum knows that targets of a service were published.
	Recorded func(service ident.ServiceName) bool
}

// Claims decides which service a target belongs to if entries of the list name several for
// its ID. An entry of a service that the routing document doesn't name is of another writer
// if there is one of a service that it does name. A document may come to name the service of
// another writer later; the target then stays with the service that it belonged to. Without
// such a history the target is not published, since a request could run at a service to which
// no route leads. The zero value is ready to use. It is safe for concurrent use.
type Claims struct {
	mu     sync.Mutex
	owners map[ident.TargetName]owner
}

// owner is the service to which a target belongs.
type owner struct {
	service ident.ServiceName
	// listed is when the list last had an entry of that service.
	listed time.Time
	// disputed is set once the list named another service beside it.
	disputed bool
}

// Resolve returns a list with one entry for each target, in the order of the first ones, and
// the targets that are left out because nothing tells their service.
func (c *Claims) Resolve(now time.Time, list []Target, standing Standing) (resolved []Target, unresolved []ident.TargetName) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.owners == nil {
		c.owners = make(map[ident.TargetName]owner)
	}
	entries := make(map[ident.TargetName][]Target, len(list))
	var names []ident.TargetName
	for _, target := range list {
		if entries[target.Name] == nil {
			names = append(names, target.Name)
		}
		entries[target.Name] = append(entries[target.Name], target)
	}
	for _, name := range names {
		service, ok := c.resolveService(now, name, servicesOf(entries[name]), standing)
		if !ok {
			unresolved = append(unresolved, name)
			continue
		}
		resolved = append(resolved, mergeEntries(entries[name], service))
	}
	for name, of := range c.owners {
		if now.Sub(of.listed) > claimRetention {
			delete(c.owners, name)
		}
	}
	return resolved, unresolved
}

// resolveService returns the service of a target. It returns false if nothing tells it.
func (c *Claims) resolveService(now time.Time, name ident.TargetName, claimed []ident.ServiceName, standing Standing) (ident.ServiceName, bool) {
	named := filter(claimed, standing.Named)
	known, owned := c.owners[name]
	owned = owned && (len(named) == 0 || standing.Named(known.service))
	switch {
	case owned && slices.Contains(claimed, known.service):
		c.owners[name] = owner{service: known.service, listed: now, disputed: known.disputed || len(claimed) > 1}
		return known.service, true
	case owned && known.disputed:
		return "", false
	}
	for _, candidates := range [][]ident.ServiceName{named, filter(named, standing.Recorded), claimed} {
		if len(candidates) == 1 {
			c.owners[name] = owner{service: candidates[0], listed: now, disputed: len(claimed) > 1}
			return candidates[0], true
		}
	}
	return "", false
}

// servicesOf returns the services that entries name, each once.
func servicesOf(entries []Target) []ident.ServiceName {
	var services []ident.ServiceName
	for _, entry := range entries {
		if !slices.Contains(services, entry.Service) {
			services = append(services, entry.Service)
		}
	}
	return services
}

func filter(services []ident.ServiceName, keep func(ident.ServiceName) bool) []ident.ServiceName {
	return slices.DeleteFunc(slices.Clone(services), func(s ident.ServiceName) bool { return !keep(s) })
}

// mergeEntries returns the first entry of a service. The target is leaving if any entry of
// the service at the same address says so, and cold for the longest time that one says.
func mergeEntries(entries []Target, service ident.ServiceName) Target {
	entries = slices.DeleteFunc(slices.Clone(entries), func(t Target) bool { return t.Service != service })
	merged := entries[0]
	for _, entry := range entries[1:] {
		if entry.Address != merged.Address {
			continue
		}
		merged.Leaving = merged.Leaving || entry.Leaving
		if entry.ColdUntil.After(merged.ColdUntil) {
			merged.ColdUntil = entry.ColdUntil
		}
	}
	return merged
}
