package ctrl

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"cactusline.dev/cactusline/internal/conn/roster"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/version/cmdpb"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/store"
)

const (
	// softwareRetention is how long a version must not have been listed before it is
	// forgotten. No stream lasts as long.
	softwareRetention = 10 * time.Minute
	// recordSoftwareTimeout bounds the record of new versions, during which the list is
	// not published.
	recordSoftwareTimeout = 500 * time.Millisecond
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
	counts := make(map[store.Software]*ServiceSoftware)
	for _, target := range c.cfg.Roster.Targets() {
		k := store.Software{Service: target.Service, Version: target.Version}
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

// absences tracks since when recorded versions have not been listed. What was seen in one
// term says nothing in the next, since another process may have read the list meanwhile.
type absences struct {
	mu    sync.Mutex
	term  uint64
	since map[store.Software]time.Time
}

// observe records a list that was read in a term.
func (a *absences) observe(now time.Time, term uint64, listed, recorded []store.Software) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.since == nil || term != a.term {
		a.since, a.term = make(map[store.Software]time.Time), term
	}
	for _, software := range listed {
		delete(a.since, software)
	}
	for _, software := range recorded {
		if _, absent := a.since[software]; !absent && !slices.Contains(listed, software) {
			a.since[software] = now
		}
	}
}

// age returns how long a version has not been listed, 0 if it is or that isn't known.
func (a *absences) age(now time.Time, term uint64, software store.Software) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	since, absent := a.since[software]
	if !absent || term != a.term {
		return 0
	}
	return now.Sub(since)
}

// AdmitTargets returns what may be published of the entries that the platform lists: one for
// each target, as resolveClaims decides. It records the software versions of these targets,
// so that a quorum knows each version before a gate can begin a stream there, and leaves out
// the targets whose versions are not recorded. While there is no quorum, the known ones are.
// A target whose service or version can't be recorded is left out and holds up no others.
func (c *Control) AdmitTargets(ctx context.Context, entries []roster.Target) []roster.Target {
	list := c.resolveClaims(entries)
	listed := listedSoftware(list)
	recorded := c.cfg.Store.Software()
	term, leads, leader := c.leadership()
	c.absences.observe(c.cfg.Clock.Now(), term, listed, recorded)
	added := slices.DeleteFunc(slices.Clone(listed), func(s store.Software) bool { return slices.Contains(recorded, s) })
	var removed []store.Software
	if leads {
		removed = c.forgettable(term, recorded)
	}
	if len(added)+len(removed) > 0 && (leads || leader != "") {
		if err := c.recordSoftware(ctx, added, removed); err != nil {
			_ = level.Warn(c.cfg.Logger).Log("msg", "record of software versions failed", "added", len(added), "removed", len(removed), "err", err)
		}
		recorded = c.cfg.Store.Software()
	}
	return slices.DeleteFunc(slices.Clone(list), func(t roster.Target) bool {
		return !slices.Contains(recorded, store.Software{Service: t.Service, Version: t.Version})
	})
}

func listedSoftware(list []roster.Target) []store.Software {
	var listed []store.Software
	for _, target := range list {
		software := store.Software{Service: target.Service, Version: target.Version}
		if software.Valid() && !slices.Contains(listed, software) {
			listed = append(listed, software)
		}
	}
	return listed
}

// forgettable returns the versions that have not been listed for softwareRetention.
func (c *Control) forgettable(term uint64, recorded []store.Software) []store.Software {
	now := c.cfg.Clock.Now()
	var old []store.Software
	for _, software := range recorded {
		if c.absences.age(now, term, software) >= softwareRetention {
			old = append(old, software)
		}
	}
	return old
}

func (c *Control) recordSoftware(ctx context.Context, added, removed []store.Software) error {
	ctx, cancel := context.WithTimeout(ctx, recordSoftwareTimeout)
	defer cancel()
	entry, err := store.EncodeCommand(&cmdpb.Command{Body: &cmdpb.Command_Software{Software: store.NewRecordSoftware(added, removed)}})
	if err != nil {
		return fmt.Errorf("encode software versions: %w", err)
	}
	data, err := c.Command(ctx, entry)
	if err != nil {
		return fmt.Errorf("record software versions: %w", err)
	}
	result, err := store.DecodeResult(data)
	if err != nil {
		return fmt.Errorf("record software versions: %w", err)
	}
	if result.GetStatus() != cmdpb.Status_STATUS_OK {
		return fmt.Errorf("record software versions: %s", result.GetDetail())
	}
	return nil
}

// possibleSoftware returns the versions at which streams of a service may have begun.
func (c *Control) possibleSoftware(term uint64, service ident.ServiceName) []*wire.SoftwareAge {
	now := c.cfg.Clock.Now()
	var possible []*wire.SoftwareAge
	for _, software := range c.cfg.Store.Software() {
		if software.Service == service {
			age := c.absences.age(now, term, software)
			possible = append(possible, &wire.SoftwareAge{Version: string(software.Version), AbsentMs: uint64(age.Milliseconds())})
		}
	}
	return possible
}
