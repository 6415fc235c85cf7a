package store

import (
	"cmp"
	"fmt"
	"slices"

	"cactusline.dev/cactusline/internal/version/cmdpb"
	"cactusline.dev/cactusline/internal/version/ident"
)

// Software is a version of the software that targets of a service run.
type Software struct {
	Service ident.ServiceName
	Version ident.SoftwareVersion
}

const (
	// maxSoftware bounds the versions that are held.
	maxSoftware = 4096
	// maxSoftwareText bounds the names of a service and a version, in bytes.
	maxSoftwareText = 512
)

// Valid reports whether the service and the version can be recorded.
func (s Software) Valid() bool {
	return s.Service != "" && len(s.Service) <= maxSoftwareText && len(s.Version) <= maxSoftwareText
}

// Software returns the versions that gates may have been told of, in order. The caller
// must not modify the list.
func (s *Store) Software() []Software {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.software
}

// NewRecordSoftware returns the body of a command that adds and removes versions.
func NewRecordSoftware(added, removed []Software) *cmdpb.RecordSoftware {
	return &cmdpb.RecordSoftware{Added: softwareToProto(added), Removed: softwareToProto(removed)}
}

// recordSoftware adds and removes versions. What is there already is not added again.
func (s *Store) recordSoftware(body *cmdpb.RecordSoftware) *cmdpb.Result {
	removed := softwareFromProto(body.GetRemoved())
	next := slices.DeleteFunc(slices.Clone(s.software), func(held Software) bool { return slices.Contains(removed, held) })
	for _, added := range softwareFromProto(body.GetAdded()) {
		if !added.Valid() {
			return invalidResult("service must be set, and names must have at most 512 bytes")
		}
		if !slices.Contains(next, added) {
			next = append(next, added)
		}
	}
	if len(next) > maxSoftware {
		return invalidResult(fmt.Sprintf("%d software versions, at most %d are held", len(next), maxSoftware))
	}
	slices.SortFunc(next, func(a, b Software) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version))
	})
	s.software = next
	return &cmdpb.Result{Status: cmdpb.Status_STATUS_OK}
}

func softwareToProto(list []Software) []*cmdpb.SoftwareVersion {
	var encoded []*cmdpb.SoftwareVersion
	for _, software := range list {
		encoded = append(encoded, &cmdpb.SoftwareVersion{Service: string(software.Service), Version: string(software.Version)})
	}
	return encoded
}

func softwareFromProto(list []*cmdpb.SoftwareVersion) []Software {
	var decoded []Software
	for _, software := range list {
		decoded = append(decoded, Software{Service: ident.ServiceName(software.GetService()), Version: ident.SoftwareVersion(software.GetVersion())})
	}
	return decoded
}
