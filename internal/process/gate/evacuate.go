package gate

import (
	"time"

	"github.com/go-kit/log/level"

	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/process/logs"
	"cactusline.dev/cactusline/internal/version/ident"
)

// reasonEvacuated is the reason of a rejection because all targets of the service are in
// evacuated failure domains.
const reasonEvacuated = "Evacuated"

// updateEvacuations applies the evacuated domains of an update. It must be called before
// the document of the update is applied, since requests are served by that.
func (g *Gate) updateEvacuations(now time.Time, update *wire.Update) {
	domains := make([]ident.DomainName, 0, len(update.GetEvacuated()))
	for _, domain := range update.GetEvacuated() {
		domains = append(domains, ident.DomainName(domain))
	}
	evacuated, readmitted := g.balancer.SetEvacuated(now, domains)
	for _, domain := range evacuated {
		_ = level.Warn(g.cfg.Logger).Log(logs.FieldEvent, "DomainEvacuated", "Domain", domain, "Index", update.GetEvacuationsIndex())
	}
	for _, domain := range readmitted {
		_ = level.Info(g.cfg.Logger).Log(logs.FieldEvent, "DomainReadmitted", "Domain", domain, "Index", update.GetEvacuationsIndex())
	}
}
