// Package sizing works out the tables of docs/CAPACITY.md: what each role
// spends at the size that the fleet is designed for, from figures that were
// measured at several smaller sizes.
package sizing

// The size to design for.
const (
	PlanRouters = 410
	PlanTargets = 700
	// PlanInFlight is the answers in flight at one router, and PlanAtTarget
	// those at one target.
	PlanInFlight = 61
	PlanAtTarget = 36
	// PlanSteps is the paid steps a second, taken to be 10 in 100 requests,
	// and PlanDaySteps those of which the ledger keeps a day.
	PlanSteps    = 300
	PlanDaySteps = 1_000_000
)

// figure is one row of the page: a metric and the size at which it is wanted.
type figure struct {
	role, metric string
	what, unit   string
	at           float64
	// bound is the highest value allowed; 0 if there is none.
	bound float64
}

var figures = []figure{
	{"watch", "watcher-B/s", "router: watch of the records", "B/s", PlanRouters, 3000},
	{"watch", "watcher-%core", "router: watch of the records", "% core", PlanRouters, 3.5},
	{"probes", "fresh-B", "router: all targets probed once, fresh connections", "B", PlanTargets, 0},
	{"probes", "again-B", "router: all targets probed once, standing connections", "B", PlanTargets, 0},
	{"router", "router-%core", "router: idle process, all records", "% core", PlanTargets, 3.5},
	{"router", "router-MB", "router: idle process, all records", "MB resident", PlanTargets, 32},
	{"router", "router-peak-MB", "router: idle process, all records, peak", "MB resident", PlanTargets, 32},
	{"chats", "router-%core", "router: 64-token answers in flight", "% core", PlanInFlight, 0},
	{"chats", "router-MB", "router: 64-token answers in flight", "MB resident", PlanInFlight, 0},
	{"chats", "sidecar-%core", "sidecar: 64-token answers in flight", "% core", PlanAtTarget, 0},
	{"chats", "sidecar-MB", "sidecar: 64-token answers in flight", "MB resident", PlanAtTarget, 0},
	{"sums", "sidecar-B/s", "sidecar: watch and load reports", "B/s", PlanTargets, 3000},
	{"sums", "sidecar-%core", "sidecar: idle", "% core", PlanTargets, 3.5},
	{"watch", "control-%core", "control: feeds watchers", "% core", PlanRouters + PlanTargets, 0},
	{"watch", "control-added-MB", "control: feeds watchers", "MB resident", PlanRouters + PlanTargets, 0},
	{"sums", "control-%core", "control: sums loads and feeds sidecars", "% core", PlanTargets, 0},
	{"sums", "control-MB", "control: sums loads and feeds sidecars", "MB resident", PlanTargets, 0},
	{"commits", "leader-%core", "control leader: paid steps a second", "% core", PlanSteps, 0},
	{"commits", "follower-%core", "control follower: paid steps a second", "% core", PlanSteps, 0},
	{"force", "median-ms", "change in force, median", "ms", PlanRouters, 1000},
	{"force", "max-ms", "change in force, last watcher", "ms", PlanRouters, 3000},
	{"herd-1", "all-ready-ms", "all start at once, 1 control process", "ms", PlanRouters + PlanTargets, 0},
	{"herd-3", "all-ready-ms", "all start at once, 3 control processes", "ms", PlanRouters + PlanTargets, 0},
	{"herd-3", "busiest-control-cpu-ms", "the same, processor time of the busiest", "ms", PlanRouters + PlanTargets, 0},
	{"herd-3", "peak-control-MB", "the same, memory of the largest", "MB resident", PlanRouters + PlanTargets, 0},
	{"herd-3", "watcher-KB", "the same, bytes of each watcher", "KB", PlanRouters + PlanTargets, 0},
	{"failover", "gap-median-ms", "control process lost: time without news, median", "ms", PlanRouters + PlanTargets, 0},
	{"failover", "gap-max-ms", "control process lost: time without news, longest", "ms", PlanRouters + PlanTargets, 3000},
	{"Day", "heap-MB", "control: paid steps kept of a day", "MB heap", PlanDaySteps, 0},
	{"Day", "snapshot-MB", "control: snapshot after a day", "MB", PlanDaySteps, 0},
	{"Choose", "ns/op", "router: one choice among targets", "ns", PlanTargets, 0},
}
