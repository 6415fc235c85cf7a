package place_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/conn/roster"
	"cactusline.dev/cactusline/internal/request/place"
	"cactusline.dev/cactusline/internal/version/ident"
)

// versioned returns targets of two versions in turn.
func versioned(n int) []roster.Target {
	list := targets(n)
	for i := range list {
		list[i].Version = ident.SoftwareVersion([]string{"v1", "v2"}[i%2])
	}
	return list
}

func TestPinnedRequestGoesToItsVersionOnly(t *testing.T) {
	balancer := place.NewBalancer(place.Config{})
	balancer.Update(start, "s", versioned(6))
	req := promptRequest(1)
	req.Pinned, req.Version = true, "v2"
	for range 3 {
		target := choose(t, balancer, start, req).Target
		assert.Equal(t, target.Version, ident.SoftwareVersion("v2"))
		balancer.Finish(start, target, place.Unreachable)
		req.Tried = append(req.Tried, target)
	}
	_, found := balancer.Choose(start, req)
	assert.Assert(t, !found, "no target of the version is left")
}

// Guards against prompts that are fetched from the cache of another version.
func TestPromptsAreNotFetchedAcrossVersions(t *testing.T) {
	for seed := range uint64(60) {
		balancer := place.NewBalancer(place.Config{})
		balancer.Update(start, "s", versioned(6))
		versions := map[string]ident.SoftwareVersion{}
		for _, target := range versioned(6) {
			versions[target.Address] = target.Version
		}
		req := promptRequest(seed)
		for range 6 {
			choice := choose(t, balancer, start, req)
			if choice.FetchFrom != "" {
				assert.Equal(t, versions[choice.FetchFrom], choice.Target.Version)
			}
			req.Tried = append(req.Tried, choice.Target)
		}
	}
}

func TestTargetWithAnotherVersionIsAnotherTarget(t *testing.T) {
	balancer := place.NewBalancer(place.Config{})
	list := versioned(1)
	balancer.Update(start, "s", list)
	before := choose(t, balancer, start, promptRequest(1)).Target
	list[0].Version = "v9"
	balancer.Update(start, "s", list)
	after := choose(t, balancer, start, promptRequest(1)).Target
	assert.Assert(t, before != after)
	assert.Equal(t, before.Version, ident.SoftwareVersion("v1"), "the version of a chosen target never changes")
}

func TestOnlyVersionIsKnownWithItsTime(t *testing.T) {
	balancer := place.NewBalancer(place.Config{})
	_, _, only := balancer.OnlyVersion("model")
	assert.Assert(t, !only)
	list := targets(2)
	balancer.Update(start, "s", list)
	balancer.Update(start.Add(time.Second), "s", list)
	_, since, only := balancer.OnlyVersion("model")
	assert.Assert(t, only && since.Equal(start))
	list[1].Version = "v2"
	balancer.Update(start.Add(2*time.Second), "s", list)
	_, _, only = balancer.OnlyVersion("model")
	assert.Assert(t, !only)
	balancer.Update(start.Add(3*time.Second), "s", list[:1])
	_, since, only = balancer.OnlyVersion("model")
	assert.Assert(t, only && since.Equal(start.Add(3*time.Second)))

	late := place.NewBalancer(place.Config{})
	late.Update(start, "s", list[:1])
	_, since, only = late.OnlyVersion("model")
	assert.Assert(t, only && since.Equal(start), "another one may have left before")
}
