package recap_test

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/request/recap"
)

const gateLog = `  19.8 edge-1/gate {"Event":"TargetEjected","Request":"other","Target":"t1","Result":"Lost","Time":"2026-01-01T00:00:09Z","process":"edge-1","role":"gate"}
not a line
{"Attempts":[{"Target":"t1","Result":"NotSent","Status":0,"Error":"connection refused","Took":"1ms"},{"Target":"t2","Result":"Lost","Error":"reset","Took":"9ms"}],"Document":7,"Event":"RequestEnded","Outcome":"Unknown","Request":"r1","Route":"once","Status":502,"Time":"2026-01-01T00:00:10Z","Took":"10ms","process":"edge-1","role":"gate"}
{"Event":"RequestEnded","Outcome":"Finish","Request":"r2","Time":"2026-01-01T00:00:10Z","process":"edge-1","role":"gate"}
`

const coreLog = `{"msg":"target gone","target":"t2","Time":"2026-01-01T00:00:11Z","process":"edge-2","role":"core"}
{"msg":"target gone","target":"t9","Time":"2026-01-01T00:00:11Z","process":"edge-2","role":"core"}
`

func read(t *testing.T, logs ...string) []recap.Line {
	t.Helper()
	var all []recap.Line
	for _, text := range logs {
		lines, _, err := recap.Read(strings.NewReader(text))
		assert.NilError(t, err)
		all = append(all, lines...)
	}
	return all
}

func TestExplainMergesLogsAndReportsCause(t *testing.T) {
	report, err := recap.Explain("r1", read(t, coreLog, gateLog))
	assert.NilError(t, err)
	var events []string
	for _, line := range report.Lines {
		events = append(events, line.Event)
	}
	assert.DeepEqual(t, events, []string{"TargetEjected", "RequestEnded", "target gone"})
	assert.Equal(t, report.Cause, "outcome unknown: the request was sent to t2, which returned no complete answer (reset); it may have run")
	var out bytes.Buffer
	assert.NilError(t, report.Write(&out))
	assert.Assert(t, strings.Contains(out.String(), "attempt 2: t2 Lost"), out.String())
}

func TestExplainListsResendsAtOtherGates(t *testing.T) {
	const first = `{"Event":"RequestEnded","Fingerprint":"0a","Outcome":"Unknown","Request":"r1","Time":"2026-01-01T00:00:10Z","process":"edge-1","role":"gate"}
`
	const second = `{"Event":"RequestEnded","Fingerprint":"0a","Outcome":"Unknown","Request":"r2","Time":"2026-01-01T00:01:10Z","process":"edge-2","role":"gate"}
{"Event":"RequestEnded","Fingerprint":"0b","Outcome":"Unknown","Request":"r3","Time":"2026-01-01T00:01:10Z","process":"edge-2","role":"gate"}
`
	report, err := recap.Explain("r1", read(t, first, second))
	assert.NilError(t, err)
	assert.Equal(t, len(report.Lines), 2)
	var out bytes.Buffer
	assert.NilError(t, report.Write(&out))
	assert.Assert(t, strings.Contains(out.String(), "RequestEnded Request=r2 Fingerprint=0a"), out.String())
}

func TestExplainUnknownRequest(t *testing.T) {
	_, err := recap.Explain("none", read(t, gateLog))
	var missing *recap.NotFoundError
	assert.Assert(t, errors.As(err, &missing))
}

func FuzzRead(f *testing.F) {
	f.Add(gateLog)
	f.Fuzz(func(_ *testing.T, text string) {
		lines, _, _ := recap.Read(strings.NewReader(text))
		if report, err := recap.Explain("r1", lines); err == nil {
			_ = report.Write(&bytes.Buffer{})
		}
	})
}

func TestExplainNamesThePartThatARequestWasRejectedFor(t *testing.T) {
	const rejected = `{"Event":"RequestEnded","Fingerprint":"0a","Outcome":"Quarantined","Quarantine":"0c","QuarantinedPart":"00ab","Request":"r1","Time":"2026-01-01T00:01:10Z","process":"edge-1","role":"gate"}
`
	const crashes = `{"Event":"TargetCrashed","Parts":["0001","00ab"],"Target":"t1","Time":"2026-01-01T00:00:10Z","process":"edge-2","role":"gate"}
{"Event":"TargetCrashed","Parts":["0001"],"Target":"t2","Time":"2026-01-01T00:00:10Z","process":"edge-2","role":"gate"}
`
	report, err := recap.Explain("r1", read(t, rejected, crashes))
	assert.NilError(t, err)
	assert.Equal(t, len(report.Lines), 2)
	assert.Equal(t, report.Cause, "refused without running: part 00ab of its prompt crashed targets; 'cactusline lift 0c' ends the quarantine")
	var out bytes.Buffer
	assert.NilError(t, report.Write(&out))
	assert.Assert(t, strings.Contains(out.String(), "TargetCrashed Parts=[0001 00ab] Target=t1"), out.String())
}

// Each outcome of a gate that rejects a request has a cause.
func TestExplainNamesCauseOfRejection(t *testing.T) {
	for outcome, want := range map[string]string{
		"NoRoute":             "refused: document 7 has no route for it; a quorum confirmed the document 420ms before",
		"NoCustomer":          "refused: document 7 has no customer with its key; a quorum confirmed the document 420ms before",
		"DocumentUnconfirmed": "refused without running: document 7 does not allow it, but a newer one may: a quorum confirmed the document 420ms before",
		"Paused":              "refused without running: all targets that it may use have asked for a pause",
		"RateLimited":         "refused without running: all targets that it may use limit their rates",
		"VersionGone":         "refused without running: no target has the software version that began its stream",
		"OriginUnknown":       "refused without running: nobody knows which software version began its stream",
	} {
		t.Run(outcome, func(t *testing.T) {
			line := `{"Event":"RequestEnded","Outcome":"` + outcome + `","Document":7,"Confirmed":"420ms","Request":"r1","Time":"2026-01-01T00:00:10Z","process":"edge-1","role":"gate"}
`
			report, err := recap.Explain("r1", read(t, line))
			assert.NilError(t, err)
			assert.Equal(t, report.Cause, want)
			var out bytes.Buffer
			assert.NilError(t, report.Write(&out))
			assert.Assert(t, strings.Contains(out.String(), "Confirmed=420ms"), out.String())
		})
	}
}
