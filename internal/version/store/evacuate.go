package store

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"cactusline.dev/cactusline/internal/process/audit"
	"cactusline.dev/cactusline/internal/version/cmdpb"
	"cactusline.dev/cactusline/internal/version/ident"
)

// Evacuation is the state of a failure domain for which there was an order.
type Evacuation struct {
	Domain ident.DomainName
	// Active is set while the targets of the domain get no requests.
	Active bool
	// Version counts the orders for the domain, including those that changed nothing.
	Version ident.Version
	// Changed and Actor are the time and the author of the last change.
	Changed time.Time
	Actor   string
}

const (
	// maxEvacuations bounds the domains that are held.
	maxEvacuations = 1024
	// maxDomainBytes bounds the name of a domain.
	maxDomainBytes = 256
)

// evacuations are the domains for which there was an order.
type evacuations struct {
	// list is sorted by domain and replaced at each change.
	list []Evacuation
	// index is that of the log entry, or of the restored snapshot, that last changed
	// a domain, 0 if there was no order.
	index uint64
}

// Evacuations returns the domains for which there was an order, and the index of the log
// entry, or of the restored snapshot, that last changed one. The caller must not modify
// the list.
func (s *Store) Evacuations() ([]Evacuation, uint64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.evacuations.list, s.evacuations.index
}

// FindEvacuation returns the state of a domain in a list of Store.Evacuations. That of a
// domain without an order has the version 0.
func FindEvacuation(list []Evacuation, domain ident.DomainName) Evacuation {
	if i, found := searchEvacuation(list, domain); found {
		return list[i]
	}
	return Evacuation{Domain: domain}
}

func searchEvacuation(list []Evacuation, domain ident.DomainName) (int, bool) {
	return slices.BinarySearchFunc(list, domain, func(e Evacuation, domain ident.DomainName) int {
		return cmp.Compare(e.Domain, domain)
	})
}

// evacuate begins or ends the evacuation of a domain. An order that was made for another
// version of the domain is refused as a conflict, so that a late copy of an order does not
// undo a newer one. For that reason an order also counts if the domain is in the ordered
// state.
func (s *Store) evacuate(c *cmdpb.Command, body *cmdpb.Evacuate) *cmdpb.Result {
	domain := ident.DomainName(body.GetDomain())
	if domain == "" || len(domain) > maxDomainBytes {
		return invalidResult(fmt.Sprintf("domain must have 1 to %d bytes", maxDomainBytes))
	}
	i, found := searchEvacuation(s.evacuations.list, domain)
	held := FindEvacuation(s.evacuations.list, domain)
	if body.GetBase() != uint64(held.Version) {
		return &cmdpb.Result{
			Status: cmdpb.Status_STATUS_CONFLICT,
			Detail: fmt.Sprintf("order is for version %d of domain %s, held is %d", body.GetBase(), domain, held.Version),
		}
	}
	if !found && len(s.evacuations.list) >= maxEvacuations {
		return invalidResult(fmt.Sprintf("evacuations of %d domains are held", maxEvacuations))
	}
	next := slices.Clone(s.evacuations.list)
	if !found {
		next = slices.Insert(next, i, held)
	}
	next[i].Version++
	if found && body.GetActive() == held.Active {
		s.evacuations.list = next
		return &cmdpb.Result{Status: cmdpb.Status_STATUS_OK, Detail: "the domain is in that state"}
	}
	next[i].Active, next[i].Changed, next[i].Actor = body.GetActive(), s.now, truncateAuditText(c.GetActor())
	s.evacuations = evacuations{list: next, index: s.applied}
	s.notifyChanged()
	event := audit.Event{Kind: audit.KindReadmit, Subject: "Domain/" + string(domain), Detail: fmt.Sprintf("version %d", next[i].Version)}
	if body.GetActive() {
		event.Kind = audit.KindEvacuate
	}
	return s.appendAudit(&cmdpb.Result{Status: cmdpb.Status_STATUS_OK}, c, event)
}

// EvacuationsToProto encodes evacuations.
func EvacuationsToProto(list []Evacuation) []*cmdpb.Evacuation {
	var encoded []*cmdpb.Evacuation
	for _, e := range list {
		encoded = append(encoded, &cmdpb.Evacuation{
			Domain: string(e.Domain), Active: e.Active, Step: uint64(e.Version), Changed: e.Changed.UnixNano(), Actor: e.Actor,
		})
	}
	return encoded
}

// EvacuationsFromProto decodes what EvacuationsToProto encoded.
func EvacuationsFromProto(saved []*cmdpb.Evacuation) []Evacuation {
	var decoded []Evacuation
	for _, e := range saved {
		decoded = append(decoded, Evacuation{
			Domain: ident.DomainName(e.GetDomain()), Active: e.GetActive(), Version: ident.Version(e.GetStep()),
			Changed: time.Unix(0, e.GetChanged()).UTC(), Actor: e.GetActor(),
		})
	}
	return decoded
}

// restoredEvacuations returns the evacuations of a snapshot that ends at an index.
func restoredEvacuations(saved []*cmdpb.Evacuation, applied uint64) evacuations {
	if len(saved) == 0 {
		return evacuations{}
	}
	return evacuations{list: EvacuationsFromProto(saved), index: applied}
}
