package store_test

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/version/cmdpb"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/record"
	"cactusline.dev/cactusline/internal/version/store"
)

// The example files must be valid and apply in one change, and applying one
// again must change nothing. Each route must have several candidates.
func TestExamplesLoad(t *testing.T) {
	for _, test := range []struct {
		file              string
		customers         int
		model             ident.ModelName
		engines           int
		service           ident.ServiceName
		replicas, domains int
	}{
		{"kivijarvi.json", 10, "race-assistant", 10, "registration", 3, 3},
		{"darsiraj.json", 10, "atelier-assistant", 10, "orders", 4, 4},
	} {
		t.Run(test.file, func(t *testing.T) {
			file, err := os.Open(filepath.Join("..", "..", "..", "examples", test.file))
			assert.NilError(t, err)
			defer file.Close()
			records, err := record.ReadFile(test.file, file)
			assert.NilError(t, err)
			r := newReplica(t, store.Config{})
			result := r.apply(applyCommand("first", recordsJSON(records)...))
			assert.Equal(t, result.GetStatus(), ok, result.String())
			again := r.apply(applyCommand("second", recordsJSON(records)...))
			assert.Equal(t, again.GetRevision(), uint64(1), "a file applied again changed the records")

			set := r.store.Set()
			assert.Equal(t, len(set.List(record.KindCustomer)), test.customers)
			assert.Equal(t, len(set.ModelTargets(test.model)), test.engines)
			assert.Equal(t, len(set.ServiceTargets(test.service)), test.replicas)
			domains := map[ident.DomainName]bool{}
			for _, target := range set.Targets() {
				domains[target.Domain] = true
			}
			assert.Equal(t, len(domains), test.domains)
			for _, route := range set.Routes() {
				assert.Assert(t, len(set.Candidates(route)) > 1, route.Name)
			}
		})
	}
}

func recordsJSON(records []*record.Record) [][]byte {
	var out [][]byte
	for _, r := range records {
		out = append(out, r.JSON())
	}
	return out
}

// fleetRecords returns the records of a fleet of the given size.
func fleetRecords(t testing.TB, customers, models, targets int) [][]byte {
	var out [][]byte
	add := func(value any) {
		r, err := record.New(value)
		assert.NilError(t, err)
		out = append(out, r.JSON())
	}
	for i := range customers {
		name := fmt.Sprintf("customer-%04d", i)
		add(&record.Customer{
			Name: ident.CustomerName(name), Weight: uint32(i%8 + 1),
			Keys:   []record.KeyHash{record.HashKey(name), record.HashKey(name + "-next")},
			Limits: record.Limits{InFlight: 100, TokensPerMinute: 500_000},
		})
	}
	for i := range models {
		name := ident.ModelName(fmt.Sprintf("model-%02d", i))
		add(&record.Model{Name: name, Versions: []record.ModelVersion{{Name: "v1", Weights: "w1"}, {Name: "v2", Weights: "w2"}}})
		add(&record.Route{Name: "route-" + string(name), Model: name, ModelVersion: "v1", LoadBound: 1.25})
	}
	for i := range targets {
		add(&record.Target{
			Name: ident.TargetName(fmt.Sprintf("engine-%04d", i)), VM: ident.VMName(fmt.Sprintf("vm-%04d", i)),
			Domain: ident.DomainName(fmt.Sprintf("domain-%d", i%6)), Region: ident.RegionName(fmt.Sprintf("region-%d", i%2)),
			Address:  fmt.Sprintf("10.%d.%d.%d:7070", i%6, i/250, i%250),
			Models:   []record.TargetModel{{Name: ident.ModelName(fmt.Sprintf("model-%02d", i%models)), Version: "v1"}},
			Capacity: record.Capacity{Requests: 64, Tokens: 400_000},
		})
	}
	return out
}

// liveHeapBytes returns the size of the heap after a garbage collection.
func liveHeapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkDay builds the state of 920 customers, 11 models, 700 targets, 470
// changes and the ledger entries of one day, and reports its memory and
// snapshot size.
func BenchmarkDay(b *testing.B) {
	for _, requests := range []int{0, 100_000, 1_000_000} {
		b.Run(fmt.Sprint("requests=", requests), func(b *testing.B) {
			for range b.N {
				measureDay(b, requests)
			}
		})
	}
}

// measureDay builds the state of one day with the given number of requests and
// reports its sizes.
func measureDay(b *testing.B, requests int) {
	before := liveHeapBytes()
	r := newReplica(b, store.Config{})
	assert.Equal(b, r.apply(applyCommand("fleet", fleetRecords(b, 920, 11, 700)...)).GetStatus(), ok)
	for i := range 470 {
		name := fmt.Sprintf("s%d", i%10)
		r.apply(applyCommand(fmt.Sprint("c", i), serviceJSON(name, uint64(i/10), fmt.Sprint(i))))
	}
	answer := make([]byte, 300)
	for i := range requests {
		r.now = r.now.Add(24 * time.Hour / time.Duration(requests))
		key, attempt := fmt.Sprintf("key-%016x", i), fmt.Sprintf("attempt-%016x", i)
		r.apply(claimCommand(key, attempt, 1))
		r.apply(settleCommand(key, attempt, answer))
		r.log = nil
	}
	r.log = nil
	after := liveHeapBytes()
	data, err := r.store.Snapshot()
	assert.NilError(b, err)
	full, compacted := r.store.LedgerKeyCounts()
	b.ReportMetric(float64(after-before)/(1<<20), "heap-MB")
	b.ReportMetric(float64(len(data))/(1<<20), "snapshot-MB")
	b.ReportMetric(float64(full), "full-keys")
	b.ReportMetric(float64(compacted), "compacted-keys")
	runtime.KeepAlive(r)
}

// BenchmarkApplyClaim measures applying one claim command and one settle
// command.
func BenchmarkApplyClaim(b *testing.B) {
	r := newReplica(b, store.Config{})
	answer := make([]byte, 300)
	entries := make([][]byte, 0, 2*b.N)
	for i := range b.N {
		attempt := fmt.Sprintf("attempt-%016x", i)
		for _, c := range []*cmdpb.Command{claimCommand(fmt.Sprint(i), attempt, 1), settleCommand(fmt.Sprint(i), attempt, answer)} {
			c.Time = r.now.Add(time.Duration(i) * time.Second / 300).UnixNano()
			entry, err := store.EncodeCommand(c)
			assert.NilError(b, err)
			entries = append(entries, entry)
		}
	}
	b.ResetTimer()
	for i, entry := range entries {
		r.store.Apply(uint64(i+1), entry)
	}
}

// BenchmarkChange measures committing a change of one record in a set of 920
// customers, 11 models and 700 targets, and applying its delta at a watcher.
func BenchmarkChange(b *testing.B) {
	r := newReplica(b, store.Config{})
	assert.Equal(b, r.apply(applyCommand("", fleetRecords(b, 920, 11, 700)...)).GetStatus(), ok)
	watcher, err := (&record.Set{}).Apply(r.store.DeltaSince(0))
	assert.NilError(b, err)
	b.Run("commit", func(b *testing.B) {
		version := uint64(0)
		if current, found := r.store.Set().Get(record.Key{Kind: record.KindService, Name: "s"}); found {
			version = uint64(current.Version())
		}
		for i := range b.N {
			result := r.apply(applyCommand("", serviceJSON("s", version+uint64(i), fmt.Sprint(version+uint64(i)))))
			assert.Equal(b, result.GetStatus(), ok)
		}
	})
	b.Run("delta", func(b *testing.B) {
		for range b.N {
			_, err := watcher.Apply(r.store.DeltaSince(watcher.Revision()))
			assert.NilError(b, err)
		}
	})
}

// BenchmarkFullSet measures how long a process takes to load the full set of
// 920 customers, 11 models and 700 targets, and the memory that the set uses.
func BenchmarkFullSet(b *testing.B) {
	contents := fleetRecords(b, 920, 11, 700)
	size := 0
	for _, data := range contents {
		size += len(data)
	}
	before := liveHeapBytes()
	var set *record.Set
	b.ResetTimer()
	for range b.N {
		records := make([]*record.Record, 0, len(contents))
		for _, data := range contents {
			r, err := record.ParseCommitted(data)
			assert.NilError(b, err)
			records = append(records, r)
		}
		set = record.NewSet(1, records)
	}
	b.StopTimer()
	b.ReportMetric(float64(size)/(1<<10), "JSON-KB")
	b.ReportMetric(float64(liveHeapBytes()-before)/(1<<10), "heap-KB")
	runtime.KeepAlive(set)
}
