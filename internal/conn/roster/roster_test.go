package roster_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cactusline.dev/cactusline/internal/conn/roster"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/version/ident"
)

// A view that missed any number of steps, or followed another source, must end
// with the publisher's list.
func TestRandomisedViewMatchesPublisher(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		publishers := []*roster.Publisher{roster.NewPublisher("a"), roster.NewPublisher("b")}
		var view roster.View
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			publisher := rapid.SampledFrom(publishers).Draw(t, "book")
			var list []roster.Target
			for i := range rapid.IntRange(0, 6).Draw(t, "targets") {
				if rapid.Bool().Draw(t, "listed") {
					list = append(list, roster.Target{
						Name:    ident.TargetName(fmt.Sprint("t", i)),
						Leaving: rapid.Bool().Draw(t, "leaving"),
					})
				}
			}
			publisher.Replace(list)
			if !rapid.Bool().Draw(t, "delivered") {
				continue
			}
			if delta := publisher.DeltaSince(view.Source, view.Step); delta != nil {
				assert.Assert(t, view.Apply(delta))
			}
			got := map[ident.TargetName]bool{}
			for _, target := range view.Targets() {
				got[target.Name] = target.Leaving
			}
			want := map[ident.TargetName]bool{}
			for _, target := range list {
				want[target.Name] = target.Leaving
			}
			assert.DeepEqual(t, got, want)
		}
	})
}

func TestDeltaHoldsLoadsOfOtherProcesses(t *testing.T) {
	var loads roster.LoadTotals
	var a, b roster.ProcessLoads
	loads.Update(&a, &wire.TargetLoads{Targets: []uint32{1, 2}, Requests: []uint32{3, 4}})
	loads.Update(&b, &wire.TargetLoads{Targets: []uint32{2}, Requests: []uint32{5}})
	delta := loads.Delta("s", &a)
	assert.DeepEqual(t, delta.GetTargets(), []uint32{2})
	assert.DeepEqual(t, delta.GetRequests(), []uint32{5})
	assert.Assert(t, loads.Delta("s", &a) == nil)
	loads.Remove(&b)
	delta = loads.Delta("s", &a)
	assert.DeepEqual(t, delta.GetTargets(), []uint32{2})
	assert.DeepEqual(t, delta.GetRequests(), []uint32{0})
}

// All new views share one whole list until the list changes.
func TestNewViewsShareFullRoster(t *testing.T) {
	publisher := roster.NewPublisher("b")
	publisher.Replace([]roster.Target{{Name: "t1", Service: "s"}})
	first := publisher.DeltaSince("", 0)
	assert.Assert(t, first == publisher.DeltaSince("another", 9), "built again for each view")
	publisher.Replace([]roster.Target{{Name: "t1", Service: "s"}, {Name: "t2", Service: "s"}})
	assert.Equal(t, len(publisher.DeltaSince("", 0).GetTargets()), 2)
	assert.Equal(t, len(first.GetTargets()), 1)
	assert.Equal(t, len(publisher.DeltaSince("b", first.GetStep()).GetTargets()), 1, "the delta holds only the new target")
}
