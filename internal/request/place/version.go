package place

import (
	"time"

	"cactusline.dev/cactusline/internal/version/ident"
)

// mayServe reports whether a target can serve a request at all: one that could, has not
// been tried and does not leave.
func (t *Target) mayServe(req *Request) bool {
	return !t.Leaving && !contains(req.Tried, t) && t.couldServe(req)
}

// couldServe reports whether a request belongs at a target: none does in an evacuated
// domain, a stream that has begun goes on only at its software version, and a request with
// home regions runs only there.
func (t *Target) couldServe(req *Request) bool {
	return !t.evacuated && (!req.Pinned || t.Version == req.Version) && t.isHome(req)
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
	return s.onlyVersion, s.onlyVersionSince, s.hasOnlyVersion
}

// updateVersions records whether the listed targets have one version, and since when if
// that is new.
func (s *service) updateVersions(since time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	only := len(s.targets) > 0
	for _, t := range s.targets {
		only = only && t.Version == s.targets[0].Version
	}
	if only && (!s.hasOnlyVersion || s.onlyVersion != s.targets[0].Version) {
		s.onlyVersion, s.onlyVersionSince = s.targets[0].Version, since
	}
	s.hasOnlyVersion = only
}
