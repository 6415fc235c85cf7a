// Package sizing generates the tables of docs/CAPACITY.md and
// docs/MEASUREMENTS.md from benchmark output. For capacity it fits a line to the
// values measured at several sizes and evaluates it at the planned fleet size.
package sizing

// The planned size of the fleet.
const (
	PlanRouters = 410
	PlanTargets = 700
	// PlanRouterInFlight and PlanTargetInFlight are the concurrent answers at one
	// router and at one target.
	PlanRouterInFlight = 61
	PlanTargetInFlight = 36
	// PlanStepsPerSecond is the rate of paid steps, which are requests that must
	// run at most once. It assumes that 10% of all requests are paid steps.
	// PlanRetainedSteps is the number of paid steps that the ledger retains for
	// one day.
	PlanStepsPerSecond = 300
	PlanRetainedSteps  = 1_000_000
)

// capacityRow is one row of the capacity table: a metric of a benchmark, and the
// size to extrapolate it to.
type capacityRow struct {
	role, metric string
	label, unit  string
	planSize     float64
	// limit is the highest value allowed, or 0 for no limit.
	limit float64
}

var capacityRows = []capacityRow{
	{"watch", "watcher-B/s", "router: watch of the records", "B/s", PlanRouters, 3000},
	{"watch", "watcher-%core", "router: watch of the records", "% core", PlanRouters, 3.5},
	{"probes", "fresh-B", "router: all targets probed once, fresh connections", "B", PlanTargets, 0},
	{"probes", "again-B", "router: all targets probed once, standing connections", "B", PlanTargets, 0},
	{"router", "router-%core", "router: idle process, all records", "% core", PlanTargets, 3.5},
	{"router", "router-MB", "router: idle process, all records", "MB resident", PlanTargets, 32},
	{"router", "router-peak-MB", "router: idle process, all records, peak", "MB resident", PlanTargets, 32},
	{"chats", "router-%core", "router: 64-token answers in flight", "% core", PlanRouterInFlight, 0},
	{"chats", "router-MB", "router: 64-token answers in flight", "MB resident", PlanRouterInFlight, 0},
	{"chats", "sidecar-%core", "sidecar: 64-token answers in flight", "% core", PlanTargetInFlight, 0},
	{"chats", "sidecar-MB", "sidecar: 64-token answers in flight", "MB resident", PlanTargetInFlight, 0},
	{"sums", "sidecar-B/s", "sidecar: watch and load reports", "B/s", PlanTargets, 3000},
	{"sums", "sidecar-%core", "sidecar: idle", "% core", PlanTargets, 3.5},
	{"watch", "control-%core", "control: feeds watchers", "% core", PlanRouters + PlanTargets, 0},
	{"watch", "control-added-MB", "control: feeds watchers", "MB resident", PlanRouters + PlanTargets, 0},
	{"sums", "control-%core", "control: sums loads and feeds sidecars", "% core", PlanTargets, 0},
	{"sums", "control-MB", "control: sums loads and feeds sidecars", "MB resident", PlanTargets, 0},
	{"commits", "leader-%core", "control leader: paid steps a second", "% core", PlanStepsPerSecond, 0},
	{"commits", "follower-%core", "control follower: paid steps a second", "% core", PlanStepsPerSecond, 0},
	{"force", "median-ms", "change in force, median", "ms", PlanRouters, 1000},
	{"force", "max-ms", "change in force, last watcher", "ms", PlanRouters, 3000},
	{"herd-1", "all-ready-ms", "all start at once, 1 control process", "ms", PlanRouters + PlanTargets, 0},
	{"herd-3", "all-ready-ms", "all start at once, 3 control processes", "ms", PlanRouters + PlanTargets, 0},
	{"herd-3", "busiest-control-cpu-ms", "the same, processor time of the busiest", "ms", PlanRouters + PlanTargets, 0},
	{"herd-3", "peak-control-MB", "the same, memory of the largest", "MB resident", PlanRouters + PlanTargets, 0},
	{"herd-3", "watcher-KB", "the same, bytes of each watcher", "KB", PlanRouters + PlanTargets, 0},
	{"failover", "gap-median-ms", "control process lost: time without news, median", "ms", PlanRouters + PlanTargets, 0},
	{"failover", "gap-max-ms", "control process lost: time without news, longest", "ms", PlanRouters + PlanTargets, 3000},
	{"Day", "heap-MB", "control: paid steps kept of a day", "MB heap", PlanRetainedSteps, 0},
	{"Day", "snapshot-MB", "control: snapshot after a day", "MB", PlanRetainedSteps, 0},
	{"Choose", "ns/op", "router: one choice among targets", "ns", PlanTargets, 0},
}
