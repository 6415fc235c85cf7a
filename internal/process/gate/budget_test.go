package gate_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/process/gate"
	"cactusline.dev/cactusline/internal/version/route"
)

// Guards against retries that one service gets for the requests of another: each service
// is bounded by its own requests.
func TestRetriesAreEarnedAtTheirService(t *testing.T) {
	answer := func(status int) func(r *receivedRequest) {
		return func(r *receivedRequest) { r.respond(status, "x") }
	}
	healthy := newFakeTarget(t, "t1", answer(http.StatusOK))
	failing := []*fakeTarget{newFakeTarget(t, "t2", answer(http.StatusInternalServerError)), newFakeTarget(t, "t3", answer(http.StatusInternalServerError))}
	h := newHarness(t, gate.Config{UnearnedRetriesPerSecond: 0.001, RetryRatio: 0.1})
	document := testDocument()
	document.Services = append(document.Services, route.Service{Name: "other"})
	document.Routes = append(document.Routes, route.Route{
		Name: "other", Host: "h", Prefix: "/other/", Kind: route.Safe, Timeout: 2 * time.Second,
		LatencyObjective: time.Second, Attempts: 2, Split: []route.Share{{Service: "other", Weight: 1}},
	})
	h.putDocument(document)
	roster := &wire.Roster{Source: "test", Step: 100, Targets: []*wire.RosterTarget{{Number: 1, Name: "t1", Service: "s", Address: healthy.address, Slots: 8}}}
	for i, target := range failing {
		roster.Targets = append(roster.Targets, &wire.RosterTarget{Number: uint32(i + 2), Name: target.name, Service: "other", Address: target.address, Slots: 8})
	}
	assert.NilError(t, h.follower.ApplyUpdate(&wire.Update{Roster: roster}))

	for i := range 300 {
		_, _, err := h.sendAndRead("/safe/", "q", "Id", fmt.Sprint("s", i))
		assert.NilError(t, err)
	}
	const requests = 50
	for i := range requests {
		_, _, err := h.sendAndRead("/other/", "q", "Id", fmt.Sprint("o", i))
		assert.NilError(t, err)
	}
	// One more may come from the pool, and one from rounding.
	retries := failing[0].count() + failing[1].count() - requests
	assert.Assert(t, retries <= requests/10+2, "%d retries of %d requests", retries, requests)
}
