package admin_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/process/admin"
	"cactusline.dev/cactusline/internal/request/poison"
	"cactusline.dev/cactusline/internal/version/cmdpb"
	"cactusline.dev/cactusline/internal/version/store"
)

// propose commits the report of a gate.
func (s *testServer) propose(report *cmdpb.GateReport) {
	s.t.Helper()
	entry, err := store.EncodeCommand(&cmdpb.Command{Body: &cmdpb.Command_GateReport{GateReport: report}})
	assert.NilError(s.t, err)
	for began := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		if _, err = s.control.Command(context.Background(), entry); err == nil {
			return
		}
		assert.Assert(s.t, time.Since(began) < 10*time.Second, "%v", err)
	}
}

// verdicts returns the verdicts in force.
func (s *testServer) verdicts() []admin.CrashVerdict {
	s.t.Helper()
	got := s.do(http.MethodGet, "/v1/verdicts", "", "")
	assert.Equal(s.t, got.status, http.StatusOK, "%s", got.body)
	answer := new(admin.Verdicts)
	assert.NilError(s.t, json.Unmarshal(got.body, answer))
	return answer.Verdicts
}

func TestVerdictsAreShownAndLifted(t *testing.T) {
	s := startServer(t, nil)
	report := new(cmdpb.GateReport)
	for i := range poison.MaxPartCrashes {
		report.Crashes = append(report.Crashes, &cmdpb.TargetCrash{
			Target: fmt.Sprint("t", i), Fingerprints: []uint64{0x11 + uint64(i)},
			Parts: []*cmdpb.PartInFlight{{Fingerprint: 0x22, Part: 0xabc, Depth: 2}},
		})
	}
	s.propose(report)
	held := s.verdicts()
	assert.Equal(t, len(held), 1, "%v", held)
	assert.Equal(t, held[0].Fingerprint, "0000000000000022")
	assert.Equal(t, held[0].Part, "0000000000000abc")
	assert.Equal(t, held[0].Depth, 2)
	assert.Equal(t, held[0].Verdict, "quarantined")
	assert.Assert(t, held[0].Expires != nil)

	got := s.do(http.MethodDelete, "/v1/verdicts/0000000000000022", "", "lift-1")
	assert.Equal(t, got.status, http.StatusOK, "%s", got.body)
	assert.Equal(t, len(s.verdicts()), 0)
	for path, want := range map[string]int{"/v1/verdicts/22": http.StatusNotFound, "/v1/verdicts/xyz": http.StatusBadRequest} {
		got = s.do(http.MethodDelete, path, "", "")
		assert.Equal(t, got.status, want, "%s", got.body)
	}
}

// Guards against a request that crashes targets again because an operator has lifted the
// verdict on a part of its prompt.
func TestLiftOfPartKeepsTheCrashesOfItsRequests(t *testing.T) {
	s := startServer(t, nil)
	report := new(cmdpb.GateReport)
	for i, request := range []uint64{0x11, 0x11, 0x11, 0x12, 0x12} {
		report.Crashes = append(report.Crashes, &cmdpb.TargetCrash{
			Target: fmt.Sprint("t", i), Fingerprints: []uint64{request}, Parts: []*cmdpb.PartInFlight{{Fingerprint: 0x22, Part: 0xabc, Depth: 2}},
		})
	}
	s.propose(report)
	assert.Equal(t, len(s.verdicts()), 1)
	got := s.do(http.MethodDelete, "/v1/verdicts/0000000000000022", "", "lift-1")
	assert.Equal(t, got.status, http.StatusOK, "%s", got.body)
	held := map[string]string{}
	for _, verdict := range s.verdicts() {
		held[verdict.Fingerprint] = verdict.Verdict
	}
	assert.DeepEqual(t, held, map[string]string{"0000000000000011": "quarantined", "0000000000000012": "suspect"})
	got = s.do(http.MethodDelete, "/v1/verdicts/0000000000000011", "", "lift-2")
	assert.Equal(t, got.status, http.StatusOK, "%s", got.body)
	assert.Equal(t, len(s.verdicts()), 1)
}

func TestMonitorMayNotLiftVerdicts(t *testing.T) {
	s := startServer(t, tokenAuthenticator{})
	s.token = "m"
	assert.Equal(t, len(s.verdicts()), 0)
	got := s.do(http.MethodDelete, "/v1/verdicts/22", "", "")
	assert.Equal(t, got.status, http.StatusForbidden, "%s", got.body)
}
