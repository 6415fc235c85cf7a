package ctrl

import (
	"fmt"
	"slices"
	"sync"

	"github.com/go-kit/log/level"

	"cactusline.dev/cactusline/internal/conn/roster"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/store"
)

// maxLoggedTargets bounds the targets that one line of the log names.
const maxLoggedTargets = 8

// targetClaims resolves which entries of the platform's list name a target. The zero value is
// ready to use.
type targetClaims struct {
	roster.Claims

	mu sync.Mutex
	// version is the version of the routing document that names the services.
	version  ident.Version
	services []ident.ServiceName
	// unresolved are the targets of the last list that nothing tells the service of.
	unresolved []ident.TargetName
}

// resolveClaims returns one entry for each target that the platform lists.
func (c *Control) resolveClaims(entries []roster.Target) []roster.Target {
	recorded := c.cfg.Store.Software()
	named := c.namedServices()
	list, unresolved := c.claims.Resolve(c.cfg.Clock.Now(), entries, roster.Standing{
		Named: func(service ident.ServiceName) bool { return slices.Contains(named, service) },
		Recorded: func(service ident.ServiceName) bool {
			return slices.ContainsFunc(recorded, func(s store.Software) bool { return s.Service == service })
		},
	})
	c.logUnresolved(unresolved)
	return list
}

// logUnresolved logs the targets that are not published if they are others than before.
func (c *Control) logUnresolved(unresolved []ident.TargetName) {
	c.claims.mu.Lock()
	defer c.claims.mu.Unlock()
	if !slices.Equal(unresolved, c.claims.unresolved) {
		c.claims.unresolved = unresolved
		_ = level.Warn(c.cfg.Logger).Log("msg", "unpublished targets that several services claim changed", "count", len(unresolved),
			"targets", fmt.Sprint(unresolved[:min(len(unresolved), maxLoggedTargets)]))
	}
}

// namedServices returns the services that the newest routing document names. The caller must
// not change them.
func (c *Control) namedServices() []ident.ServiceName {
	document := c.cfg.Store.Document()
	c.claims.mu.Lock()
	defer c.claims.mu.Unlock()
	if c.cfg.DocumentServices == nil || document.Version == c.claims.version {
		return c.claims.services
	}
	services, err := c.cfg.DocumentServices(document.Body)
	if err != nil {
		_ = level.Error(c.cfg.Logger).Log("msg", "cannot read the services of the routing document", "version", document.Version, "err", err)
	}
	c.claims.version, c.claims.services = document.Version, services
	return services
}
