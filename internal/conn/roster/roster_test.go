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

// A view that misses any number of steps, or comes from another source, ends
// with the book's list.
func TestRandomisedViewFollowsTheBook(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		books := []*roster.Publisher{roster.NewPublisher("a"), roster.NewPublisher("b")}
		var view roster.View
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			book := rapid.SampledFrom(books).Draw(t, "book")
			var list []roster.Target
			for i := range rapid.IntRange(0, 6).Draw(t, "targets") {
				if rapid.Bool().Draw(t, "listed") {
					list = append(list, roster.Target{
						Name:    ident.TargetName(fmt.Sprint("t", i)),
						Leaving: rapid.Bool().Draw(t, "leaving"),
					})
				}
			}
			book.Replace(list)
			if !rapid.Bool().Draw(t, "delivered") {
				continue
			}
			if news := book.DeltaSince(view.Source, view.Step); news != nil {
				assert.Assert(t, view.Apply(news))
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

func TestLoadsTellEachProcessOfTheOthers(t *testing.T) {
	var loads roster.LoadTotals
	var a, b roster.ProcessLoads
	loads.Update(&a, &wire.TargetLoads{Targets: []uint32{1, 2}, Requests: []uint32{3, 4}})
	loads.Update(&b, &wire.TargetLoads{Targets: []uint32{2}, Requests: []uint32{5}})
	news := loads.Delta("s", &a)
	assert.DeepEqual(t, news.GetTargets(), []uint32{2})
	assert.DeepEqual(t, news.GetRequests(), []uint32{5})
	assert.Assert(t, loads.Delta("s", &a) == nil)
	loads.Remove(&b)
	news = loads.Delta("s", &a)
	assert.DeepEqual(t, news.GetTargets(), []uint32{2})
	assert.DeepEqual(t, news.GetRequests(), []uint32{0})
}

// All views that start share one whole list, until the book changes.
func TestNewViewsShareTheWholeList(t *testing.T) {
	book := roster.NewPublisher("b")
	book.Replace([]roster.Target{{Name: "t1", Service: "s"}})
	first := book.DeltaSince("", 0)
	assert.Assert(t, first == book.DeltaSince("another", 9), "made anew for each view")
	book.Replace([]roster.Target{{Name: "t1", Service: "s"}, {Name: "t2", Service: "s"}})
	assert.Equal(t, len(book.DeltaSince("", 0).GetTargets()), 2)
	assert.Equal(t, len(first.GetTargets()), 1)
	assert.Equal(t, len(book.DeltaSince("b", first.GetStep()).GetTargets()), 1, "only what is new")
}
