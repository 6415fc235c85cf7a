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
		books := []*roster.Book{roster.NewBook("a"), roster.NewBook("b")}
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
			book.Put(list)
			if !rapid.Bool().Draw(t, "delivered") {
				continue
			}
			if news := book.Since(view.Source, view.Step); news != nil {
				assert.Assert(t, view.Take(news))
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
	var loads roster.Loads
	var a, b roster.Report
	loads.Take(&a, &wire.TargetLoads{Targets: []uint32{1, 2}, Requests: []uint32{3, 4}})
	loads.Take(&b, &wire.TargetLoads{Targets: []uint32{2}, Requests: []uint32{5}})
	news := loads.News("s", &a)
	assert.DeepEqual(t, news.GetTargets(), []uint32{2})
	assert.DeepEqual(t, news.GetRequests(), []uint32{5})
	assert.Assert(t, loads.News("s", &a) == nil)
	loads.Forget(&b)
	news = loads.News("s", &a)
	assert.DeepEqual(t, news.GetTargets(), []uint32{2})
	assert.DeepEqual(t, news.GetRequests(), []uint32{0})
}

// All views that start share one whole list, until the book changes.
func TestNewViewsShareTheWholeList(t *testing.T) {
	book := roster.NewBook("b")
	book.Put([]roster.Target{{Name: "t1", Service: "s"}})
	first := book.Since("", 0)
	assert.Assert(t, first == book.Since("another", 9), "made anew for each view")
	book.Put([]roster.Target{{Name: "t1", Service: "s"}, {Name: "t2", Service: "s"}})
	assert.Equal(t, len(book.Since("", 0).GetTargets()), 2)
	assert.Equal(t, len(first.GetTargets()), 1)
	assert.Equal(t, len(book.Since("b", first.GetStep()).GetTargets()), 1, "only what is new")
}
