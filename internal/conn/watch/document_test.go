package watch_test

import (
	"fmt"
	"testing"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cactusline.dev/cactusline/internal/conn/watch"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/process/clock"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/patch"
)

// Applies patches in any order, repeatedly and from any base, as processes that
// lag behind send them. The document held must always be the one of its version,
// its version must never decrease, and a patch from another base must change
// nothing.
func TestRandomisedDocumentVersionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		follower := watch.NewFollower(watch.Config{
			Addresses: []string{"127.0.0.1:1"}, Clock: clock.System{}, Logger: log.NewNopLogger(), Process: "p",
		})
		bodies := map[uint64][]byte{0: nil}
		versions := []uint64{0}
		for i := range rapid.IntRange(1, 8).Draw(t, "documents") {
			version := versions[len(versions)-1] + uint64(rapid.IntRange(1, 5).Draw(t, "step"))
			versions = append(versions, version)
			bodies[version] = fmt.Appendf(nil, `{"a":{"same":1},"b":{"number":%d}}`, i)
		}
		previous := ident.Version(0)
		for range rapid.IntRange(1, 40).Draw(t, "updates") {
			version := rapid.SampledFrom(versions[1:]).Draw(t, "version")
			base := rapid.SampledFrom(versions).Draw(t, "base")
			diff, err := patch.Diff(bodies[base], bodies[version])
			assert.NilError(t, err)
			err = follower.ApplyUpdate(&wire.Update{Document: &wire.Document{Version: version, Base: base, Patch: diff}})
			got, body := follower.Document()
			assert.Assert(t, got >= previous)
			assert.Equal(t, string(body), string(bodies[uint64(got)]))
			if err != nil {
				assert.Equal(t, got, previous)
			}
			previous = got
		}
	})
}
