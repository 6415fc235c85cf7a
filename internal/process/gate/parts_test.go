package gate_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/process/gate"
	"cactusline.dev/cactusline/internal/request/poison"
	"cactusline.dev/cactusline/internal/version/cmdpb"
	"cactusline.dev/cactusline/internal/version/ident"
)

// deadlyPart is the part of prompts on which partTarget crashes.
const deadlyPart = "7"

// newPartTarget returns a target that crashes on the deadly part.
func newPartTarget(t *testing.T, name string) *fakeTarget {
	target := newFakeTarget(t, name, nil)
	target.handler = func(r *receivedRequest) {
		if r.request.Header.Get("Part") == deadlyPart {
			target.crash()
			return
		}
		respondOK(r)
	}
	return target
}

// crashedParts returns the parts in all reports of crashes.
func (c *fakeControl) crashedParts() []*cmdpb.PartInFlight {
	crashes, _ := c.reported()
	var parts []*cmdpb.PartInFlight
	for _, crash := range crashes {
		parts = append(parts, crash.GetParts()...)
	}
	return parts
}

// survivals returns the survivals in all reports.
func (c *fakeControl) survivals() []*cmdpb.PartSurvival {
	c.mu.Lock()
	defer c.mu.Unlock()
	var survivals []*cmdpb.PartSurvival
	for _, report := range c.reports {
		survivals = append(survivals, report.GetSurvivals()...)
	}
	return survivals
}

// crashOnPart sends a request with the deadly part and returns the part's fingerprint.
func (h *harness) crashOnPart(control *fakeControl) uint64 {
	h.t.Helper()
	_, _, err := h.sendAndRead("/once/a", "", "Part", deadlyPart)
	assert.NilError(h.t, err)
	waitFor(h.t, "report", func() bool { return len(control.crashedParts()) > 0 })
	return control.crashedParts()[0].GetFingerprint()
}

// setPartVerdict delivers a list with the verdict on the deadly part.
func (h *harness) setPartVerdict(fingerprint uint64, verdict poison.Verdict, expires time.Time) {
	h.t.Helper()
	active := &wire.CrashVerdict{Fingerprint: fingerprint, Verdict: uint32(verdict), Expires: expires.UnixNano(), Part: 7, Depth: 1}
	assert.NilError(h.t, h.follower.ApplyUpdate(&wire.Update{Verdicts: []*wire.CrashVerdict{active}, VerdictsSet: true}))
}

func TestCrashReportHoldsSharedPartsOfPrompts(t *testing.T) {
	control := new(fakeControl)
	h := newHarness(t, gate.Config{Control: control}, newPartTarget(t, "t1"))
	h.putDocument(testDocument())
	h.crashOnPart(control)
	parts := control.crashedParts()
	assert.Equal(t, len(parts), 1, "the last part of a prompt is reported")
	assert.Equal(t, parts[0].GetPart(), uint64(7))
	assert.Equal(t, parts[0].GetDepth(), uint32(1))
	assert.Assert(t, parts[0].GetSentAge() > 0)
	assert.Equal(t, parts[0].GetSurvivedAge(), int64(0))
}

func TestRequestWithQuarantinedPartIsRejected(t *testing.T) {
	control := new(fakeControl)
	var lines logBuffer
	h := newHarness(t, gate.Config{Control: control, Logger: log.NewJSONLogger(log.NewSyncWriter(&lines))}, newPartTarget(t, "t1"))
	h.putDocument(testDocument())
	fingerprint := h.crashOnPart(control)
	other := newPartTarget(t, "t2")
	h.setTargets(other)
	h.setPartVerdict(fingerprint, poison.VerdictQuarantined, time.Now().Add(time.Minute))

	for i, path := range []string{"/once/a", "/safe/a", "/stream/a", "/resume/a"} {
		response, err := h.send(context.Background(), path, fmt.Sprint("no two alike ", i), "Part", deadlyPart)
		assert.NilError(t, err)
		_ = response.Body.Close()
		assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
		wait, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		assert.NilError(t, err)
		assert.Assert(t, wait > 50 && wait <= 60, "Retry-After: %v s", wait)
	}
	assert.Equal(t, other.count(), 0)
	ends := lines.lines(`"QuarantinedPart":"0000000000000007"`)
	assert.Equal(t, len(ends), 4)
	assert.Assert(t, strings.Contains(ends[0], `"Outcome":"Quarantined"`), ends[0])

	status, _, err := h.sendAndRead("/once/a", "", "Part", "8")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	status, _, err = h.sendAndRead("/once/a", "without a prompt")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
}

// Guards against a part that has to crash as many targets of each model as of one.
func TestPartIsRejectedForAllModels(t *testing.T) {
	control := new(fakeControl)
	h := newHarness(t, gate.Config{Control: control}, newPartTarget(t, "t1"))
	h.putDocument(testDocument())
	fingerprint := h.crashOnPart(control)
	h.setTargets(newPartTarget(t, "t2"))
	h.setPartVerdict(fingerprint, poison.VerdictQuarantined, time.Now().Add(time.Minute))
	status, _, err := h.sendAndRead("/once/a", "", "Part", deadlyPart, "Model", "another")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusServiceUnavailable)
}

// Guards against a deadly part that crashes one target after the other when its
// quarantine has ended.
func TestReleasedPartRunsOnlyOnTrial(t *testing.T) {
	control := new(fakeControl)
	h := newHarness(t, gate.Config{Control: control}, newPartTarget(t, "t1"))
	h.putDocument(testDocument())
	fingerprint := h.crashOnPart(control)
	targets := []*fakeTarget{newPartTarget(t, "t2"), newPartTarget(t, "t3")}
	h.setTargets(targets...)
	h.setPartVerdict(fingerprint, poison.VerdictQuarantined, time.Now().Add(-time.Second))
	runs := func() int { return targets[0].count() + targets[1].count() }
	for range 3 {
		status, _, err := h.sendAndRead("/safe/a", "", "Part", deadlyPart)
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusServiceUnavailable)
	}
	assert.Equal(t, control.askedTrials(), 1)
	assert.Equal(t, runs(), 0)
	time.Sleep(1100 * time.Millisecond)
	control.grantTrial()
	status, _, err := h.sendAndRead("/safe/a", "", "Part", deadlyPart)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusBadGateway)
	assert.Equal(t, runs(), 1, "a trial is repeated")
}

// Guards against a trial that is granted while no target can run it, so that a sound
// part waits for the next.
func TestNoTrialIsAskedForWithoutTarget(t *testing.T) {
	control := new(fakeControl)
	h := newHarness(t, gate.Config{Control: control}, newPartTarget(t, "t1"))
	h.putDocument(testDocument())
	fingerprint := h.crashOnPart(control)
	h.setTargets()
	h.setPartVerdict(fingerprint, poison.VerdictQuarantined, time.Now().Add(-time.Second))
	status, _, err := h.sendAndRead("/once/a", "", "Part", deadlyPart)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, control.askedTrials(), 0)
}

func TestSurvivalOfListedPartIsReported(t *testing.T) {
	for _, c := range []struct {
		name, path string
		handler    func(r *receivedRequest)
		want       int
	}{
		{"complete", "/once/a", respondOK, 1},
		{"until close", "/once/a", func(r *receivedRequest) { r.writeUntilClose("whole") }, 1},
		{"stream that goes on", "/stream/a", func(r *receivedRequest) {
			r.writeHead(http.StatusOK, -1)
			for i := range 4 {
				r.writeEvent(i + 1)
				time.Sleep(100 * time.Millisecond)
			}
			r.reset()
		}, 1},
		{"stream that breaks off", "/stream/a", func(r *receivedRequest) {
			r.writeHead(http.StatusOK, -1)
			r.writeEvent(1)
			r.reset()
		}, 0},
		{"failure", "/once/a", func(r *receivedRequest) { r.respond(http.StatusInternalServerError, "failed") }, 0},
		{"refusal", "/once/a", func(r *receivedRequest) { r.respond(http.StatusServiceUnavailable, "full", "Not-Run: 1") }, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			control := new(fakeControl)
			h := newHarness(t, gate.Config{Control: control}, newPartTarget(t, "t1"))
			h.putDocument(testDocument())
			fingerprint := h.crashOnPart(control)
			h.setTargets(newFakeTarget(t, "t2", c.handler))
			h.setPartVerdict(fingerprint, poison.VerdictWatched, time.Time{})
			_, _, _ = h.sendAndRead(c.path, "", "Part", deadlyPart)
			time.Sleep(400 * time.Millisecond)
			survivals := control.survivals()
			assert.Equal(t, len(survivals), c.want)
			if c.want > 0 {
				assert.Equal(t, survivals[0].GetFingerprint(), fingerprint)
			}
		})
	}
}

// Guards against a part that is quarantined before a gate tells that targets survive
// it, since nobody had asked.
func TestEarlierSurvivalIsReportedOnceAPartIsListed(t *testing.T) {
	control := new(fakeControl)
	crashing := newPartTarget(t, "t1")
	h := newHarness(t, gate.Config{Control: control}, newFakeTarget(t, "t0", respondOK))
	h.putDocument(testDocument())
	status, _, err := h.sendAndRead("/once/a", "", "Part", deadlyPart)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	h.setTargets(crashing)
	fingerprint := h.crashOnPart(control)
	assert.Assert(t, control.crashedParts()[0].GetSurvivedAge() > 0)
	for range 3 {
		h.setPartVerdict(fingerprint, poison.VerdictSuspect, time.Time{})
		time.Sleep(100 * time.Millisecond)
	}
	waitFor(t, "survival", func() bool { return len(control.survivals()) > 0 })
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, len(control.survivals()), 1)
}

// Guards against parts that are held for a crash, though their target had answered for
// long before it.
func TestRequestThatWasAnsweredForLongIsNoCauseOfACrash(t *testing.T) {
	control := new(fakeControl)
	target := newFakeTarget(t, "t1", nil)
	target.handler = func(r *receivedRequest) {
		r.writeHead(http.StatusOK, -1)
		for i := range 4 {
			r.writeEvent(i + 1)
			time.Sleep(100 * time.Millisecond)
		}
		target.crash()
	}
	h := newHarness(t, gate.Config{Control: control}, target)
	h.putDocument(testDocument())
	_, _, err := h.sendAndRead("/stream/a", "", "Part", "8")
	assert.Assert(t, err != nil)
	waitFor(t, "report", func() bool { crashes, _ := control.reported(); return len(crashes) > 0 })
	assert.Equal(t, len(control.crashedParts()), 0)
}

// The crashes that a gate saw itself stop a deadly part while control can't be reached.
func TestGateQuarantinesPartByItsOwnCrashes(t *testing.T) {
	control := &fakeControl{failing: true}
	h := newHarness(t, gate.Config{Control: control})
	h.putDocument(testDocument())
	rejected := 0
	for i := range 3 * poison.MaxPartCrashes {
		target := newPartTarget(t, fmt.Sprint("t", i))
		h.setTargets(target)
		status, _, err := h.sendAndRead("/once/a", fmt.Sprint("no two alike ", i), "Part", deadlyPart)
		assert.NilError(t, err)
		if status == http.StatusServiceUnavailable {
			rejected++
			continue
		}
		time.Sleep(100 * time.Millisecond) // until the target is probed
	}
	assert.Equal(t, rejected, 2*poison.MaxPartCrashes)
}

func TestSurvivalLogIsBounded(t *testing.T) {
	const parts = 100_000
	survivals := gate.NewSurvivalLog()
	at := time.Unix(1, 0)
	for part := range ident.Fingerprint(parts) {
		survivals.Record(part, at)
	}
	assert.Assert(t, survivals.Len() <= gate.MaxSurvivals, "%d", survivals.Len())
	assert.Equal(t, survivals.Last(parts-1), at)
	assert.Assert(t, survivals.Last(0).IsZero())
}

// Guards against a part that stays rejected at the gates that saw its crashes, after an
// operator has lifted the verdict or another gate has reported a survival.
func TestPartReleasedByControlRunsAtOnce(t *testing.T) {
	control := new(fakeControl)
	h := newHarness(t, gate.Config{Control: control})
	h.putDocument(testDocument())
	for i := range poison.MaxPartCrashes {
		h.setTargets(newPartTarget(t, fmt.Sprint("t", i)))
		_, _, err := h.sendAndRead("/once/a", fmt.Sprint("no two alike ", i), "Part", deadlyPart)
		assert.NilError(t, err)
		waitFor(t, "report", func() bool { return len(control.crashedParts()) > i })
	}
	h.setTargets(newFakeTarget(t, "sound", respondOK))
	status, _, err := h.sendAndRead("/once/a", "", "Part", deadlyPart)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusServiceUnavailable)

	h.setPartVerdict(control.crashedParts()[0].GetFingerprint(), poison.VerdictQuarantined, time.Now().Add(time.Minute))
	assert.NilError(t, h.follower.ApplyUpdate(&wire.Update{VerdictsSet: true}))
	status, _, err = h.sendAndRead("/once/a", "", "Part", deadlyPart)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
}

// A trial that a target survives releases the part at this gate before control's next
// list.
func TestSurvivedTrialReleasesPart(t *testing.T) {
	control := new(fakeControl)
	h := newHarness(t, gate.Config{Control: control}, newPartTarget(t, "t1"))
	h.putDocument(testDocument())
	fingerprint := h.crashOnPart(control)
	h.setTargets(newFakeTarget(t, "t2", respondOK))
	h.setPartVerdict(fingerprint, poison.VerdictQuarantined, time.Now().Add(-time.Second))
	control.grantTrial()
	for range 3 {
		status, _, err := h.sendAndRead("/once/a", "", "Part", deadlyPart)
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
	}
	assert.Equal(t, control.askedTrials(), 1)
}

// Guards against crashes that a gate counts by itself on both sides of a survival.
func TestSurvivalEndsCountOfOwnCrashes(t *testing.T) {
	h := newHarness(t, gate.Config{Control: &fakeControl{failing: true}})
	h.putDocument(testDocument())
	for i := range 2 * (poison.MaxPartCrashes - 1) {
		if i == poison.MaxPartCrashes-1 {
			h.setTargets(newFakeTarget(t, "sound", respondOK))
			status, _, err := h.sendAndRead("/once/a", "", "Part", deadlyPart)
			assert.NilError(t, err)
			assert.Equal(t, status, http.StatusOK)
		}
		h.setTargets(newPartTarget(t, fmt.Sprint("t", i)))
		status, _, err := h.sendAndRead("/once/a", fmt.Sprint("no two alike ", i), "Part", deadlyPart)
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusBadGateway, "request %d", i)
		time.Sleep(100 * time.Millisecond) // until the target is probed
	}
}

// Of the requests in flight with a part, the newest counts: the others may be older than
// its last survival.
func TestCrashReportHasNewestRequestOfAPart(t *testing.T) {
	control := new(fakeControl)
	target := newFakeTarget(t, "t1", nil)
	target.handler = func(r *receivedRequest) {
		if r.body == "newest" {
			target.crash()
			return
		}
		<-r.closed
	}
	h := newHarness(t, gate.Config{Control: control}, target)
	h.putDocument(testDocument())
	var older sync.WaitGroup
	for i := range 4 {
		older.Go(func() { _, _, _ = h.sendAndRead("/once/a", fmt.Sprint("older ", i), "Part", deadlyPart) })
	}
	time.Sleep(500 * time.Millisecond)
	_, _, _ = h.sendAndRead("/once/a", "newest", "Part", deadlyPart)
	older.Wait()
	waitFor(t, "report", func() bool { return len(control.crashedParts()) > 0 })
	crashes, _ := control.reported()
	sentBeforeCrash := time.Duration(control.crashedParts()[0].GetSentAge() - crashes[0].GetAge())
	assert.Assert(t, sentBeforeCrash < 400*time.Millisecond, "%v", sentBeforeCrash)
}

// Guards against a part that stays held at a gate for the crashes that the gate saw
// itself, after a target has survived its trial.
func TestSurvivedTrialReleasesPartHeldForOwnCrashes(t *testing.T) {
	control := &fakeControl{failing: true}
	h := newHarness(t, gate.Config{Control: control})
	h.putDocument(testDocument())
	for i := range poison.MaxPartCrashes {
		h.setTargets(newPartTarget(t, fmt.Sprint("t", i)))
		_, _, err := h.sendAndRead("/once/a", fmt.Sprint("no two alike ", i), "Part", deadlyPart)
		assert.NilError(t, err)
		time.Sleep(100 * time.Millisecond) // until the target is probed
	}
	h.setTargets(newFakeTarget(t, "sound", respondOK))
	control.setFailing(false)
	control.grantTrial()
	waitFor(t, "trial", func() bool {
		status, _, err := h.sendAndRead("/once/a", "", "Part", deadlyPart)
		assert.NilError(t, err)
		return status == http.StatusOK
	})
	for range 3 {
		status, _, err := h.sendAndRead("/once/a", "", "Part", deadlyPart)
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
	}
}
