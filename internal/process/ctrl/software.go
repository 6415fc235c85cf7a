package ctrl

import (
	"cmp"
	"slices"

	"cactusline.dev/cactusline/internal/version/ident"
)

// ServiceSoftware is one software version that targets of a service run.
type ServiceSoftware struct {
	Service ident.ServiceName
	Version ident.SoftwareVersion
	// Targets counts the targets of the version, and Leaving those of them that take no
	// new work.
	Targets int
	Leaving int
}

// serviceSoftware returns the software versions in the platform's list, if this process
// reads it for all.
func (c *Control) serviceSoftware() []ServiceSoftware {
	if _, leads, _ := c.leadership(); !leads || c.cfg.Roster == nil {
		return nil
	}
	type key struct {
		service ident.ServiceName
		version ident.SoftwareVersion
	}
	counts := make(map[key]*ServiceSoftware)
	for _, target := range c.cfg.Roster.Targets() {
		k := key{target.Service, target.Version}
		if counts[k] == nil {
			counts[k] = &ServiceSoftware{Service: target.Service, Version: target.Version}
		}
		counts[k].Targets++
		if target.Leaving {
			counts[k].Leaving++
		}
	}
	list := make([]ServiceSoftware, 0, len(counts))
	for _, count := range counts {
		list = append(list, *count)
	}
	slices.SortFunc(list, func(a, b ServiceSoftware) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version))
	})
	return list
}
