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

func TestChangeConflictAndResend(t *testing.T) {
	server := startServer(t, nil)
	create := service(t, "bibs", 0, "one")
	created := server.do("POST", "/v1/records", create, "c1")
	assert.Equal(t, created.status, http.StatusOK, string(created.body))
	version := created.result.Records[0].Version

	update := service(t, "bibs", version, "two")
	updated := server.do("POST", "/v1/records", update, "c2")
	assert.Equal(t, updated.status, http.StatusOK, string(updated.body))
	assert.Assert(t, updated.result.Revision > created.result.Revision)

	// A resend gets the answer of the first request, even after a later change of
	// the record.
	resent := server.do("POST", "/v1/records", create, "c1")
	assert.DeepEqual(t, resent.result, created.result)
	reused := server.do("POST", "/v1/records", service(t, "bibs", 0, "three"), "c1")
	assert.Equal(t, reused.status, http.StatusConflict)
	assert.Equal(t, reused.apiErr.Code, admin.CodeChangeReused)

	conflicting := server.do("POST", "/v1/records", service(t, "bibs", version, "three"), "c3")
	assert.Equal(t, conflicting.status, http.StatusConflict)
	assert.Equal(t, conflicting.apiErr.Code, admin.CodeConflict)
	assert.Equal(t, len(conflicting.apiErr.Conflicts), 1)
	conflict := conflicting.apiErr.Conflicts[0]
	assert.Equal(t, conflict.Wanted, version)
	assert.Assert(t, strings.Contains(string(conflict.Winner), `"Pool":"two"`), string(conflict.Winner))

	// A conflict on one of two records leaves both unchanged.
	both := "[" + service(t, "other", 0, "one") + "," + service(t, "bibs", version, "three") + "]"
	assert.Equal(t, server.do("POST", "/v1/records", both, "c4").status, http.StatusConflict)
	assert.Equal(t, server.do("GET", "/v1/records/Service/other", "", "").status, http.StatusNotFound)

	stale := server.do("DELETE", fmt.Sprintf("/v1/records/Service/bibs?version=%d", version), "", "c5")
	assert.Equal(t, stale.apiErr.Code, admin.CodeConflict)
	retire := fmt.Sprintf("/v1/records/Service/bibs?version=%d", updated.result.Records[0].Version)
	retired := server.do("DELETE", retire, "", "c6")
	assert.Equal(t, retired.status, http.StatusOK, string(retired.body))
	assert.DeepEqual(t, server.do("DELETE", retire, "", "c6").result, retired.result)
	assert.Equal(t, server.do("DELETE", retire, "", "c7").apiErr.Code, admin.CodeNotFound)
}

func TestConcurrentChangesHaveOneWinner(t *testing.T) {
	const operators, rounds = 6, 10
	server := startServer(t, nil)
	version := server.do("POST", "/v1/records", service(t, "bibs", 0, "start"), "").result.Records[0].Version
	for round := range rounds {
		responses := make([]response, operators)
		var wg sync.WaitGroup
		for i := range operators {
			body := service(t, "bibs", version, fmt.Sprintf("round-%d-operator-%d", round, i))
			wg.Go(func() { responses[i] = server.do("POST", "/v1/records", body, fmt.Sprintf("%d-%d", round, i)) })
		}
		wg.Wait()
		winner := -1
		for i, res := range responses {
			if res.status == http.StatusOK {
				assert.Equal(t, winner, -1, "two operators won under version %d", version)
				winner = i
			}
		}
		assert.Assert(t, winner >= 0)
		pool := fmt.Sprintf(`"round-%d-operator-%d"`, round, winner)
		for i, res := range responses {
			if i != winner {
				assert.Equal(t, res.apiErr.Code, admin.CodeConflict, string(res.body))
				assert.Assert(t, strings.Contains(string(res.apiErr.Conflicts[0].Winner), pool), string(res.body))
			}
		}
		version = responses[winner].result.Records[0].Version
	}
}

func TestInvalidRequestsChangeNothing(t *testing.T) {
	server := startServer(t, nil)
	good := server.do("POST", "/v1/records", service(t, "bibs", 0, "one"), "")
	before := server.do("GET", "/v1/records", "", "").body
	other := service(t, "other", 0, "one")
	tests := []struct {
		name, method, path, body string
		status                   int
		code                     admin.Code
		fault                    record.Fault
	}{
		{name: "invalid JSON", body: other + "{", code: admin.CodeInvalidRecords, fault: record.Fault{Problem: "record 2"}},
		{name: "empty body", body: "", code: admin.CodeInvalidRecords},
		{name: "null", body: "null", code: admin.CodeInvalidRecords, fault: record.Fault{Record: "record 1"}},
		{name: "wrong kind", body: other + `{"Kind":"Servise","Name":"x","SchemaVersion":1}`, code: admin.CodeInvalidRecords, fault: record.Fault{Record: "Servise/x", Field: "Kind"}},
		{name: "wrong type", body: other + `{"Kind":"Service","Name":"x","SchemaVersion":1,"Pool":3}`, code: admin.CodeInvalidRecords, fault: record.Fault{Record: "Service/x", Field: "Pool"}},
		{name: "negative version", body: `{"Kind":"Service","Name":"x","SchemaVersion":1,"Version":-1}`, code: admin.CodeInvalidRecords, fault: record.Fault{Field: "Version"}},
		{name: "duplicate record", body: other + other, code: admin.CodeInvalidRecords, fault: record.Fault{Record: "Service/other"}},
		{name: "unknown model", body: other + `{"Kind":"Route","Name":"x","SchemaVersion":1,"Model":"none"}`, code: admin.CodeInvalidRecords, fault: record.Fault{Record: "Route/x", Field: "Model"}},
		{name: "too large", body: `{"Kind":"Service","Pool":"` + strings.Repeat("x", 17<<20), status: http.StatusRequestEntityTooLarge, code: admin.CodeTooLarge},
		{name: "invalid wait", path: "/v1/records?wait=soon", body: other, code: admin.CodeInvalid},
		{name: "wrong version", path: "/v1/records", body: service(t, "bibs", 7, "x"), status: http.StatusConflict, code: admin.CodeConflict},
		{name: "no version", method: "DELETE", path: "/v1/records/Service/bibs", code: admin.CodeInvalid},
		{name: "drain unknown", path: "/v1/targets/none/drain", status: http.StatusNotFound, code: admin.CodeNotFound},
		{name: "drain unknown VM", path: "/v1/vms/none/drain", status: http.StatusNotFound, code: admin.CodeNotFound},
		{name: "unknown member", path: "/v1/members/add", body: `{"New":"none"}`, status: http.StatusConflict, code: admin.CodeRefused},
		{name: "last member", path: "/v1/members/remove", body: `{"Old":"a"}`, status: http.StatusConflict, code: admin.CodeRefused},
		{name: "unknown member verb", path: "/v1/members/praise", body: `{"New":"a"}`, status: http.StatusConflict, code: admin.CodeRefused},
		{name: "unknown field in member body", path: "/v1/members/add", body: `{"Vm":"a"}`, code: admin.CodeInvalid},
		{name: "field in capitals in member body", path: "/v1/members/add", body: `{"NEW":"a"}`, code: admin.CodeInvalid},
		{name: "field twice in member body", path: "/v1/members/add", body: `{"New":"a","New":"b"}`, code: admin.CodeInvalid},
		{name: "unknown path", path: "/v1/record", status: http.StatusNotFound, code: admin.CodeNotFound},
		{name: "invalid audit index", method: "GET", path: "/v1/audit?after=x", code: admin.CodeInvalid},
		{name: "unknown request", method: "GET", path: "/v1/requests/none", status: http.StatusNotFound, code: admin.CodeNotFound},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := server.do(orDefault(test.method, "POST"), orDefault(test.path, "/v1/records"), test.body, "")
			assert.Equal(t, got.apiErr.Code, test.code, string(got.body))
			if test.status != 0 {
				assert.Equal(t, got.status, test.status)
			}
			assert.Assert(t, got.apiErr.Message != "")
			assertFault(t, got.apiErr.Faults, test.fault)
			assert.Equal(t, string(server.do("GET", "/v1/records", "", "").body), string(before))
		})
	}
	assert.Equal(t, server.control.Set().Revision(), good.result.Revision)
}

func orDefault(text, fallback string) string {
	if text == "" {
		return fallback
	}
	return text
}

// assertFault fails the test unless a fault contains the texts in the fields of
// want. It accepts any faults if want is zero.
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
	t.Fatalf("no fault matches %+v in %+v", want, faults)
}

// tokenAuthenticator accepts the token "m" of a monitor and "o" of an operator.
type tokenAuthenticator struct{}

func (tokenAuthenticator) Authenticate(token string) (admin.Actor, bool) {
	known := map[string]admin.Actor{
		"m": {Name: "outside", Role: admin.RoleMonitor},
		"o": {Name: "aino", Role: admin.RoleOperator},
	}
	actor, ok := known[token]
	return actor, ok
}

func TestMonitorHasReadAccessOnly(t *testing.T) {
	server := startServer(t, tokenAuthenticator{})
	body := service(t, "bibs", 0, "one")
	changes := []string{"/v1/records", "/v1/targets/x/drain", "/v1/targets/x/undrain", "/v1/vms/x/drain", "/v1/vms/x/undrain", "/v1/members/add"}
	reads := []string{"/v1/records", "/v1/status", "/v1/audit"}
	for _, token := range []string{"", "x"} {
		server.token = token
		for _, path := range reads {
			assert.Equal(t, server.do("GET", path, "", "").status, http.StatusUnauthorized)
		}
	}
	server.token = "m"
	for _, path := range changes {
		assert.Equal(t, server.do("POST", path, body, "").apiErr.Code, admin.CodeForbidden)
	}
	assert.Equal(t, server.do("DELETE", "/v1/records/Service/bibs?version=1", "", "").apiErr.Code, admin.CodeForbidden)
	for _, path := range reads {
		assert.Equal(t, server.do("GET", path, "", "").status, http.StatusOK)
	}
	server.token = "o"
	assert.Equal(t, server.do("POST", "/v1/records", body, "").status, http.StatusOK)
	assert.Assert(t, bytes.Contains(server.do("GET", "/v1/audit", "", "").body, []byte(`"Actor":"aino"`)))
}

func TestAuditExportVerifiesAndHasEveryChange(t *testing.T) {
	server := startServer(t, nil)
	version := ident.Version(0)
	for i := range 5 {
		got := server.do("POST", "/v1/records", service(t, "bibs", version, fmt.Sprint(i)), fmt.Sprintf("c%d", i))
		version = got.result.Records[0].Version
	}
	server.do("POST", "/v1/records", service(t, "bibs", 0, "late"), "refused")
	var status admin.Status
	assert.NilError(t, json.Unmarshal(server.do("GET", "/v1/status", "", "").body, &status))
	export := server.do("GET", "/v1/audit", "", "").body
	report, err := audit.Verifier{KnownHead: status.Audit}.Verify(bytes.NewReader(export))
	assert.NilError(t, err)
	assert.Assert(t, report.Fault == nil, report.Fault)
	for _, change := range []string{"c0", "c1", "c2", "c3", "c4", "refused"} {
		assert.Assert(t, bytes.Contains(export, []byte(`"Request":"`+change+`"`)), change)
	}
	tail := server.do("GET", fmt.Sprintf("/v1/audit?after=%d", status.Audit.Index-2), "", "").body
	assert.Equal(t, bytes.Count(tail, []byte("\n")), 2)
	assert.Assert(t, bytes.HasSuffix(export, tail))
}
