package place

import (
	"math"
	"slices"
	"time"

	"cactusline.dev/cactusline/internal/version/ident"
)

// SetEvacuated sets the failure domains whose targets get no requests, nor are asked for
// what they have cached. It returns those that were not evacuated before, and those that
// no longer are, in order.
func (b *Balancer) SetEvacuated(now time.Time, domains []ident.DomainName) (evacuated, readmitted []ident.DomainName) {
	b.mu.Lock()
	defer b.mu.Unlock()
	next := make(map[ident.DomainName]bool, len(domains))
	for _, domain := range domains {
		next[domain] = true
		if !b.evacuated[domain] {
			evacuated = append(evacuated, domain)
		}
	}
	for domain := range b.evacuated {
		if !next[domain] {
			readmitted = append(readmitted, domain)
		}
	}
	b.evacuated = next
	for _, t := range b.byName {
		t.owner.mu.Lock()
		if slices.Contains(readmitted, t.Domain) {
			t.markCold(now)
		}
		t.evacuated = next[t.Domain]
		t.owner.mu.Unlock()
	}
	slices.Sort(evacuated)
	slices.Sort(readmitted)
	return evacuated, readmitted
}

// IsEvacuated reports whether all targets that could serve a request are in evacuated
// domains.
func (b *Balancer) IsEvacuated(req *Request) bool {
	s := b.service(req.Service)
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	evacuated := false
	for _, t := range s.targets {
		if (req.Pinned && t.Version != req.Version) || !t.isHome(req) {
			continue
		}
		if !t.evacuated {
			return false
		}
		evacuated = true
	}
	return evacuated
}

const (
	// While targets are evacuated, the others get no more than maxEvacuationFactor times the
	// mean over all of the service, evacuated ones included, and evacuationSlack. The users
	// count those as well and allow twice the mean and three, for 97 in 100 requests; the
	// loads of other processes are 150 to 300 ms old.
	maxEvacuationFactor = 1.5
	evacuationSlack     = 1
)

// evacuationBound returns the load from which a target is left for a less loaded one while
// others are evacuated, and infinity while none is. The caller holds the lock.
func (s *service) evacuationBound() float64 {
	total, evacuated := 0, false
	for _, t := range s.targets {
		total += t.load()
		evacuated = evacuated || t.evacuated
	}
	if !evacuated {
		return math.Inf(1)
	}
	return maxEvacuationFactor*float64(total)/float64(len(s.targets)) + evacuationSlack
}

// EvacuatedCount returns the number of evacuated domains.
func (b *Balancer) EvacuatedCount() int {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return len(b.evacuated)
}

// MayFetchFrom reports whether a target may still be asked for what it has cached, after
// it was chosen as the source of another. Its address is empty if there is no source.
func (b *Balancer) MayFetchFrom(now time.Time, address string) bool {
	b.mu.RLock()
	defer b.mu.RUnlock()
	if address == "" || len(b.evacuated) == 0 {
		return true
	}
	for _, t := range b.byName {
		if t.Address == address {
			t.owner.mu.Lock()
			defer t.owner.mu.Unlock()
			return t.mayBeFetchedFrom(now)
		}
	}
	return false
}
