package origin_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cactusline.dev/cactusline/internal/request/origin"
	"cactusline.dev/cactusline/internal/version/ident"
)

var (
	start = time.Unix(1000, 0)
	v1    = origin.Origin{Service: "s", Version: "v1"}
	v2    = origin.Origin{Service: "s", Version: "v2"}
)

func TestStreamIsKnownForItsRetention(t *testing.T) {
	table := origin.NewTable(origin.Config{Retention: 10 * time.Second})
	key := origin.KeyOf("a")
	table.Record(start, key, v1)
	got, found := table.Lookup(start.Add(9*time.Second), key)
	assert.Assert(t, found && got == v1)
	_, found = table.Lookup(start.Add(time.Hour), key)
	assert.Assert(t, !found)
	_, found = table.Lookup(start, origin.KeyOf("b"))
	assert.Assert(t, !found)
}

func TestStreamWithTwoOriginsIsUnknown(t *testing.T) {
	table := origin.NewTable(origin.Config{})
	key := origin.KeyOf("a")
	table.Record(start, key, v1)
	table.Record(start, key, v1)
	_, found := table.Lookup(start, key)
	assert.Assert(t, found)
	table.Record(start, key, v2)
	table.Record(start, key, v2)
	_, found = table.Lookup(start, key)
	assert.Assert(t, !found)
	assert.Equal(t, len(table.All(start)), 0)
}

func TestTableIsBounded(t *testing.T) {
	table := origin.NewTable(origin.Config{MaxStreams: 1600})
	for i := range 20_000 {
		table.Record(start, origin.KeyOf(ident.RequestID(fmt.Sprint(i))), v1)
	}
	assert.Assert(t, table.Len() <= 2*1600, "%d", table.Len())
	_, found := table.Lookup(start, origin.KeyOf("19999"))
	assert.Assert(t, found, "the newest are kept")
	for i := range 10_000 {
		table.Record(start, origin.KeyOf("x"), origin.Origin{Version: ident.SoftwareVersion(fmt.Sprint(i))})
	}
}

// A table never gives a stream another origin than it was told, and knows it for the
// retention.
func TestRandomisedTableKnowsOrNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := origin.NewTable(origin.Config{Retention: 10 * time.Second})
		type record struct {
			origin origin.Origin
			at     time.Time
		}
		known, now := map[origin.StreamKey]record{}, start
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
			key := origin.KeyOf(ident.RequestID(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "id")))
			if rapid.Bool().Draw(t, "record") {
				if _, found := known[key]; !found {
					known[key] = record{origin: rapid.SampledFrom([]origin.Origin{v1, v2}).Draw(t, "origin"), at: now}
					table.Record(now, key, known[key].origin)
				}
				continue
			}
			got, found := table.Lookup(now, key)
			want, told := known[key]
			assert.Assert(t, !found || got == want.origin)
			assert.Assert(t, found || !told || now.Sub(want.at) >= 10*time.Second)
		}
	})
}
