package admin_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/process/admin"
	"cactusline.dev/cactusline/internal/process/audit"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/record"
)

func TestChangesConflictsAndResends(t *testing.T) {
	r := startRig(t, nil)
	create := service(t, "bibs", 0, "one")
	created := r.ask("POST", "/v1/records", create, "c1")
	assert.Equal(t, created.status, http.StatusOK, string(created.body))
	version := created.accepted.Records[0].Version

	amend := service(t, "bibs", version, "two")
	amended := r.ask("POST", "/v1/records", amend, "c2")
	assert.Equal(t, amended.status, http.StatusOK, string(amended.body))
	assert.Assert(t, amended.accepted.Revision > created.accepted.Revision)

	// A resend gets the first answer, also after the record has moved on.
	resent := r.ask("POST", "/v1/records", create, "c1")
	assert.DeepEqual(t, resent.accepted, created.accepted)
	reused := r.ask("POST", "/v1/records", service(t, "bibs", 0, "three"), "c1")
	assert.Equal(t, reused.status, http.StatusConflict)
	assert.Equal(t, reused.failed.Code, admin.CodeChangeReused)

	lost := r.ask("POST", "/v1/records", service(t, "bibs", version, "three"), "c3")
	assert.Equal(t, lost.status, http.StatusConflict)
	assert.Equal(t, lost.failed.Code, admin.CodeConflict)
	assert.Equal(t, len(lost.failed.Conflicts), 1)
	conflict := lost.failed.Conflicts[0]
	assert.Equal(t, conflict.Wanted, version)
	assert.Assert(t, strings.Contains(string(conflict.Winner), `"Pool":"two"`), string(conflict.Winner))

	// One conflict in a file of two changes neither.
	both := "[" + service(t, "other", 0, "one") + "," + service(t, "bibs", version, "three") + "]"
	assert.Equal(t, r.ask("POST", "/v1/records", both, "c4").status, http.StatusConflict)
	assert.Equal(t, r.ask("GET", "/v1/records/Service/other", "", "").status, http.StatusNotFound)

	stale := r.ask("DELETE", fmt.Sprintf("/v1/records/Service/bibs?version=%d", version), "", "c5")
	assert.Equal(t, stale.failed.Code, admin.CodeConflict)
	retire := fmt.Sprintf("/v1/records/Service/bibs?version=%d", amended.accepted.Records[0].Version)
	retired := r.ask("DELETE", retire, "", "c6")
	assert.Equal(t, retired.status, http.StatusOK, string(retired.body))
	assert.DeepEqual(t, r.ask("DELETE", retire, "", "c6").accepted, retired.accepted)
	assert.Equal(t, r.ask("DELETE", retire, "", "c7").failed.Code, admin.CodeNotFound)
}

func TestOneOfRacingOperatorsWins(t *testing.T) {
	const operators, rounds = 6, 10
	r := startRig(t, nil)
	version := r.ask("POST", "/v1/records", service(t, "bibs", 0, "start"), "").accepted.Records[0].Version
	for round := range rounds {
		answers := make([]answer, operators)
		var work sync.WaitGroup
		for i := range operators {
			body := service(t, "bibs", version, fmt.Sprintf("round-%d-operator-%d", round, i))
			work.Go(func() { answers[i] = r.ask("POST", "/v1/records", body, fmt.Sprintf("%d-%d", round, i)) })
		}
		work.Wait()
		winner := -1
		for i, a := range answers {
			if a.status == http.StatusOK {
				assert.Equal(t, winner, -1, "two operators won under version %d", version)
				winner = i
			}
		}
		assert.Assert(t, winner >= 0)
		pool := fmt.Sprintf(`"round-%d-operator-%d"`, round, winner)
		for i, a := range answers {
			if i != winner {
				assert.Equal(t, a.failed.Code, admin.CodeConflict, string(a.body))
				assert.Assert(t, strings.Contains(string(a.failed.Conflicts[0].Winner), pool), string(a.body))
			}
		}
		version = answers[winner].accepted.Records[0].Version
	}
}

func TestBadInputLosesNothing(t *testing.T) {
	r := startRig(t, nil)
	good := r.ask("POST", "/v1/records", service(t, "bibs", 0, "one"), "")
	before := r.ask("GET", "/v1/records", "", "").body
	other := service(t, "other", 0, "one")
	tests := []struct {
		name, method, path, body string
		status                   int
		code                     admin.Code
		fault                    record.Fault
	}{
		{name: "no JSON", body: other + "{", code: admin.CodeInvalidRecords, fault: record.Fault{Problem: "record 2"}},
		{name: "nothing", body: "", code: admin.CodeInvalidRecords},
		{name: "null", body: "null", code: admin.CodeInvalidRecords, fault: record.Fault{Record: "record 1"}},
		{name: "wrong kind", body: other + `{"Kind":"Servise","Name":"x","SchemaVersion":1}`, code: admin.CodeInvalidRecords, fault: record.Fault{Record: "Servise/x", Field: "Kind"}},
		{name: "wrong type", body: other + `{"Kind":"Service","Name":"x","SchemaVersion":1,"Pool":3}`, code: admin.CodeInvalidRecords, fault: record.Fault{Record: "Service/x", Field: "Pool"}},
		{name: "negative version", body: `{"Kind":"Service","Name":"x","SchemaVersion":1,"Version":-1}`, code: admin.CodeInvalidRecords, fault: record.Fault{Field: "Version"}},
		{name: "twice", body: other + other, code: admin.CodeInvalidRecords, fault: record.Fault{Record: "Service/other"}},
		{name: "unknown model", body: other + `{"Kind":"Route","Name":"x","SchemaVersion":1,"Model":"none"}`, code: admin.CodeInvalidRecords, fault: record.Fault{Record: "Route/x", Field: "Model"}},
		{name: "too large", body: `{"Kind":"Service","Pool":"` + strings.Repeat("x", 17<<20), status: http.StatusRequestEntityTooLarge, code: admin.CodeTooLarge},
		{name: "bad wait", path: "/v1/records?wait=soon", body: other, code: admin.CodeInvalid},
		{name: "long change id", path: "/v1/records", body: service(t, "bibs", 7, "x"), status: http.StatusConflict, code: admin.CodeConflict},
		{name: "no version", method: "DELETE", path: "/v1/records/Service/bibs", code: admin.CodeInvalid},
		{name: "drain unknown", path: "/v1/targets/none/drain", status: http.StatusNotFound, code: admin.CodeNotFound},
		{name: "drain unknown VM", path: "/v1/vms/none/drain", status: http.StatusNotFound, code: admin.CodeNotFound},
		{name: "unknown member", path: "/v1/members/add", body: `{"New":"none"}`, status: http.StatusConflict, code: admin.CodeRefused},
		{name: "last member", path: "/v1/members/remove", body: `{"Old":"a"}`, status: http.StatusConflict, code: admin.CodeRefused},
		{name: "member verb", path: "/v1/members/praise", body: `{"New":"a"}`, status: http.StatusConflict, code: admin.CodeRefused},
		{name: "member body", path: "/v1/members/add", body: `{"Vm":"a"}`, code: admin.CodeInvalid},
		{name: "unknown path", path: "/v1/record", status: http.StatusNotFound, code: admin.CodeNotFound},
		{name: "audit index", method: "GET", path: "/v1/audit?after=x", code: admin.CodeInvalid},
		{name: "unknown request", method: "GET", path: "/v1/requests/none", status: http.StatusNotFound, code: admin.CodeNotFound},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := r.ask(orElse(test.method, "POST"), orElse(test.path, "/v1/records"), test.body, "")
			assert.Equal(t, got.failed.Code, test.code, string(got.body))
			if test.status != 0 {
				assert.Equal(t, got.status, test.status)
			}
			assert.Assert(t, got.failed.Message != "")
			assertFault(t, got.failed.Faults, test.fault)
			assert.Equal(t, string(r.ask("GET", "/v1/records", "", "").body), string(before))
		})
	}
	assert.Equal(t, r.control.Set().Revision(), good.accepted.Revision)
}

func orElse(text, other string) string {
	if text == "" {
		return other
	}
	return text
}

// assertFault looks for a fault that holds all texts of want.
func assertFault(t *testing.T, faults []record.Fault, want record.Fault) {
	t.Helper()
	if want == (record.Fault{}) {
		return
	}
	for _, fault := range faults {
		if strings.Contains(fault.Record, want.Record) && strings.Contains(fault.Field, want.Field) && strings.Contains(fault.Problem, want.Problem) {
			return
		}
	}
	t.Fatalf("no fault like %+v in %+v", want, faults)
}

// roles knows the tokens of a monitor and an operator.
type roles struct{}

func (roles) Authenticate(token string) (admin.Actor, bool) {
	known := map[string]admin.Actor{
		"m": {Name: "outside", Role: admin.RoleMonitor},
		"o": {Name: "aino", Role: admin.RoleOperator},
	}
	actor, ok := known[token]
	return actor, ok
}

func TestMonitorReadsOnly(t *testing.T) {
	r := startRig(t, roles{})
	body := service(t, "bibs", 0, "one")
	changes := []string{"/v1/records", "/v1/targets/x/drain", "/v1/targets/x/undrain", "/v1/vms/x/drain", "/v1/vms/x/undrain", "/v1/members/add"}
	reads := []string{"/v1/records", "/v1/status", "/v1/audit"}
	for _, token := range []string{"", "x"} {
		r.token = token
		for _, path := range reads {
			assert.Equal(t, r.ask("GET", path, "", "").status, http.StatusUnauthorized)
		}
	}
	r.token = "m"
	for _, path := range changes {
		assert.Equal(t, r.ask("POST", path, body, "").failed.Code, admin.CodeForbidden)
	}
	assert.Equal(t, r.ask("DELETE", "/v1/records/Service/bibs?version=1", "", "").failed.Code, admin.CodeForbidden)
	for _, path := range reads {
		assert.Equal(t, r.ask("GET", path, "", "").status, http.StatusOK)
	}
	r.token = "o"
	assert.Equal(t, r.ask("POST", "/v1/records", body, "").status, http.StatusOK)
	assert.Assert(t, bytes.Contains(r.ask("GET", "/v1/audit", "", "").body, []byte(`"Actor":"aino"`)))
}

func TestAuditOfEveryChangeVerifies(t *testing.T) {
	r := startRig(t, nil)
	version := ident.Version(0)
	for i := range 5 {
		got := r.ask("POST", "/v1/records", service(t, "bibs", version, fmt.Sprint(i)), fmt.Sprintf("c%d", i))
		version = got.accepted.Records[0].Version
	}
	r.ask("POST", "/v1/records", service(t, "bibs", 0, "late"), "refused")
	var status admin.Status
	assert.NilError(t, json.Unmarshal(r.ask("GET", "/v1/status", "", "").body, &status))
	export := r.ask("GET", "/v1/audit", "", "").body
	report, err := audit.Verifier{KnownHead: status.Audit}.Verify(bytes.NewReader(export))
	assert.NilError(t, err)
	assert.Assert(t, report.Fault == nil, report.Fault)
	for _, change := range []string{"c0", "c1", "c2", "c3", "c4", "refused"} {
		assert.Assert(t, bytes.Contains(export, []byte(`"Request":"`+change+`"`)), change)
	}
	tail := r.ask("GET", fmt.Sprintf("/v1/audit?after=%d", status.Audit.Index-2), "", "").body
	assert.Equal(t, bytes.Count(tail, []byte("\n")), 2)
	assert.Assert(t, bytes.HasSuffix(export, tail))
}
