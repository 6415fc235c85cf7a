package main

// monitorService is the service under which another writer lists the replicas. No config names
// it.
const monitorService = "asset-monitor"

// runMonitorCase is a case whose provider lists each replica twice: under its own service, and
// by another writer under one that no config names.
func runMonitorCase(r *rig) (broken bool, err error) {
	return runListCase(r, func(replicas []*replica) otherWriter {
		return otherWriter{entries: func() []map[string]any { return monitorEntries(replicas) }}
	})
}

// monitorEntries returns the entries of another writer, which lists each replica under its own
// service.
func monitorEntries(replicas []*replica) []map[string]any {
	var entries []map[string]any
	for _, p := range replicas {
		entry := p.listEntry()
		entry["service"] = monitorService
		entries = append(entries, entry)
	}
	return entries
}
