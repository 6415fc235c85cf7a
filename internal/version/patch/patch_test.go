package patch_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cactusline.dev/cactusline/internal/version/patch"
)

func TestRandomisedDiffAndApply(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringMatching(`([{}a-c,]{0,8}){0,40}`)
		base, next := []byte(text.Draw(t, "base")), []byte(text.Draw(t, "next"))
		diff, err := patch.Diff(base, next)
		assert.NilError(t, err)
		got, err := patch.Apply(base, diff)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(got, next))
	})
}

func TestDiffOfOneRouteIsSmall(t *testing.T) {
	var routes []string
	for i := range 400 {
		routes = append(routes, fmt.Sprintf(`{"Name":"r-%d","Host":"a.example","Prefix":"/%x/"}`, i, i*7919))
	}
	base := []byte(`{"Routes":[` + strings.Join(routes, ",") + `]}`)
	routes[200] = `{"Name":"r-200","Host":"b.example","Prefix":"/x/"}`
	next := []byte(`{"Routes":[` + strings.Join(routes, ",") + `]}`)
	diff, err := patch.Diff(base, next)
	assert.NilError(t, err)
	assert.Assert(t, len(diff) < 200, "%d bytes", len(diff))
}

func FuzzApply(f *testing.F) {
	diff, err := patch.Diff([]byte(`{"a":{"b":1}}`), []byte(`{"a":{"b":2}}`))
	assert.NilError(f, err)
	f.Add([]byte(`{"a":{"b":1}}`), diff)
	f.Fuzz(func(_ *testing.T, base, data []byte) { _, _ = patch.Apply(base, data) })
}
