package place

import (
	"time"

	"cactusline.dev/cactusline/internal/version/ident"
)

// mayGet reports whether a request may be sent to a target: a stream that has begun goes
// on only at its software version.
func (t *Target) mayGet(req *Request) bool {
	return !t.Leaving && !contains(req.Tried, t) && (!req.Pinned || t.Version == req.Version)
}

// OnlyVersion returns the software version of a service, and since when it has been the
// only one that is listed. It returns false if there are none or several.
func (b *Balancer) OnlyVersion(name ident.ServiceName) (version ident.SoftwareVersion, since time.Time, ok bool) {
	s := b.service(name)
	if s == nil {
		return "", time.Time{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.onlyVersion, s.onlyVersionSince, !s.onlyVersionSince.IsZero()
}

// updateVersions records whether the listed targets have one version.
func (s *service) updateVersions(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.targets) == 0 {
		s.onlyVersionSince = time.Time{}
		return
	}
	version := s.targets[0].Version
	for _, t := range s.targets {
		if t.Version != version {
			s.onlyVersionSince = time.Time{}
			return
		}
	}
	if s.onlyVersionSince.IsZero() || s.onlyVersion != version {
		s.onlyVersion, s.onlyVersionSince = version, now
	}
}
