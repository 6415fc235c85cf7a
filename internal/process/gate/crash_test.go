package gate_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/process/gate"
	"cactusline.dev/cactusline/internal/request/poison"
	"cactusline.dev/cactusline/internal/version/cmdpb"
)

// logBuffer collects log lines.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (b *logBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(line)
}

// lines returns the lines that contain text.
func (b *logBuffer) lines(text string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var found []string
	for line := range strings.Lines(b.text.String()) {
		if strings.Contains(line, text) {
			found = append(found, line)
		}
	}
	return found
}

// waitFor waits until condition holds.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for began := time.Now(); !condition(); time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Since(began) < 20*time.Second, "%s: not within 20 s", what)
	}
}

func TestLogTellsCrashFromLostResponse(t *testing.T) {
	var lines logBuffer
	crashing := newFakeTarget(t, "crashing", nil)
	crashing.handler = func(*receivedRequest) { crashing.crash() }
	losing := newFakeTarget(t, "losing", func(r *receivedRequest) { r.reset() })
	h := newHarness(t, gate.Config{Logger: log.NewJSONLogger(log.NewSyncWriter(&lines))}, losing)
	h.putDocument(testDocument())
	for _, target := range []*fakeTarget{losing, crashing} {
		h.setTargets(target)
		status, _, err := h.sendAndRead("/once/a", "the same")
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusBadGateway)
	}
	waitFor(t, "crash", func() bool { return len(lines.lines("TargetCrashed")) > 0 })
	assert.Equal(t, len(lines.lines("TargetCrashed")), 1)
	assert.Equal(t, len(lines.lines(`"Target":"crashing"`)) > 0, true)
	ends := lines.lines("RequestEnded")
	assert.Equal(t, len(ends), 2)
	_, fingerprint, found := strings.Cut(ends[0], `"Fingerprint":`)
	assert.Assert(t, found, ends[0])
	fingerprint, _, _ = strings.Cut(fingerprint, ",")
	assert.Assert(t, strings.Contains(ends[1], fingerprint), "%s in %s", fingerprint, ends[1])
	assert.Assert(t, strings.Contains(lines.lines("TargetCrashed")[0], fingerprint))
}

func TestLogTellsPromptPartsOfLostResponse(t *testing.T) {
	var lines logBuffer
	target := newFakeTarget(t, "t1", func(r *receivedRequest) { r.reset() })
	h := newHarness(t, gate.Config{Logger: log.NewJSONLogger(log.NewSyncWriter(&lines))}, target)
	h.putDocument(testDocument())
	_, _, err := h.sendAndRead("/once/a", "", "Part", "26")
	assert.NilError(t, err)
	waitFor(t, "end", func() bool { return len(lines.lines("RequestEnded")) == 1 })
	end := lines.lines("RequestEnded")[0]
	assert.Assert(t, strings.Contains(end, `"Parts":["000000000000001a"]`), end)
}

// fakeControl keeps the reports of crashes, and grants trials if it is told to.
type fakeControl struct {
	mu      sync.Mutex
	failing bool
	// silent makes it not answer until the caller gives up.
	silent bool
	// granting makes it grant the next trial.
	granting bool
	reports  []*cmdpb.GateReport
}

// Propose implements gate.Control.
func (c *fakeControl) Propose(ctx context.Context, command *cmdpb.Command) (*cmdpb.Result, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.silent {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if c.failing {
		return nil, errors.New("no leader")
	}
	report := command.GetGateReport()
	c.reports = append(c.reports, report)
	result := new(cmdpb.Result)
	if c.granting && len(report.GetTrials()) > 0 {
		c.granting = false
		result.GrantedTrials = report.GetTrials()
	}
	return result, nil
}

// grantTrial makes the control grant one trial.
func (c *fakeControl) grantTrial() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.granting = true
}

// askedTrials returns the number of trials that gates asked for.
func (c *fakeControl) askedTrials() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	asked := 0
	for _, report := range c.reports {
		asked += len(report.GetTrials())
	}
	return asked
}

func (c *fakeControl) setFailing(failing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failing = failing
}

// reported returns the crashes and completions of all reports.
func (c *fakeControl) reported() (crashes []*cmdpb.TargetCrash, completed []uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, report := range c.reports {
		crashes = append(crashes, report.GetCrashes()...)
		completed = append(completed, report.GetCompleted()...)
	}
	return crashes, completed
}

func newCrashingTarget(t *testing.T, name string) *fakeTarget {
	target := newFakeTarget(t, name, nil)
	target.handler = func(r *receivedRequest) {
		if r.body == "poison" {
			target.crash()
			return
		}
		respondOK(r)
	}
	return target
}

func TestCrashIsReportedUntilControlAcceptsIt(t *testing.T) {
	control := &fakeControl{failing: true}
	var lines logBuffer
	h := newHarness(t, gate.Config{Control: control, Logger: log.NewJSONLogger(log.NewSyncWriter(&lines))}, newCrashingTarget(t, "t1"))
	h.putDocument(testDocument())
	status, _, err := h.sendAndRead("/once/a", "poison")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusBadGateway)
	waitFor(t, "failed report", func() bool { return len(lines.lines("report of crashes failed")) > 0 })
	control.setFailing(false)
	waitFor(t, "report", func() bool { crashes, _ := control.reported(); return len(crashes) > 0 })
	crashes, _ := control.reported()
	assert.Equal(t, len(crashes), 1)
	assert.Equal(t, crashes[0].GetTarget(), "t1")
	assert.Equal(t, len(crashes[0].GetFingerprints()), 1)
	age := time.Duration(crashes[0].GetAge())
	assert.Assert(t, age > 0 && age < 5*time.Second, "%s", age)
}

// Guards against a crash that goes unnoticed because the target resets no connection
// and the caller leaves first.
func TestSilentTargetIsProbedWhenTheCallerLeaves(t *testing.T) {
	control := new(fakeControl)
	silent := newFakeTarget(t, "t1", nil)
	silent.handler = func(r *receivedRequest) {
		if r.body == "poison" {
			_ = silent.listener.Close()
		}
		<-r.closed
	}
	h := newHarness(t, gate.Config{Control: control}, silent)
	h.putDocument(testDocument())
	for _, body := range []string{"slow", "poison"} {
		ctx, cancel := context.WithTimeout(context.Background(), 700*time.Millisecond)
		_, err := h.send(ctx, "/once/a", body) //nolint:bodyclose // there is no response
		assert.Assert(t, errors.Is(err, context.DeadlineExceeded))
		cancel()
	}
	waitFor(t, "report", func() bool { crashes, _ := control.reported(); return len(crashes) > 0 })
	crashes, _ := control.reported()
	assert.Equal(t, len(crashes), 1)
	assert.Equal(t, len(crashes[0].GetFingerprints()), 1)
}

func TestQuarantinedRequestIsRejectedWithRetryAfter(t *testing.T) {
	control := new(fakeControl)
	target := newCrashingTarget(t, "t1")
	h := newHarness(t, gate.Config{Control: control}, target)
	h.putDocument(testDocument())
	fingerprint := h.sendPoison(control)

	other := newFakeTarget(t, "t2", respondOK)
	h.setTargets(other)
	h.setVerdict(fingerprint, poison.VerdictQuarantined, time.Now().Add(time.Minute))
	response, err := h.send(context.Background(), "/once/a", "poison")
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	wait, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, wait > 50 && wait < 100, "Retry-After: %v s", wait)
	assert.Equal(t, other.count(), 0)

	for _, c := range []struct{ path, body string }{{"/once/a", "harmless"}, {"/once/b", "poison"}} {
		status, _, err := h.sendAndRead(c.path, c.body)
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK, "%s %s", c.path, c.body)
	}
}

// Guards against a poison request that crashes one target after the other when its
// quarantine has ended, until control's next verdict.
func TestGateRunsReleasedRequestOnlyOnTrial(t *testing.T) {
	control := new(fakeControl)
	h := newHarness(t, gate.Config{Control: control}, newCrashingTarget(t, "t1"))
	h.putDocument(testDocument())
	fingerprint := h.sendPoison(control)
	targets := []*fakeTarget{newCrashingTarget(t, "t2"), newCrashingTarget(t, "t3"), newCrashingTarget(t, "t4")}
	h.setTargets(targets...)
	h.setVerdict(fingerprint, poison.VerdictQuarantined, time.Now().Add(-time.Second))
	runs := func() int { return targets[0].count() + targets[1].count() + targets[2].count() }
	expectRejections := func(count int) {
		t.Helper()
		for range count {
			response, err := h.send(context.Background(), "/once/a", "poison")
			assert.NilError(t, err)
			_ = response.Body.Close()
			assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
			wait, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
			assert.NilError(t, err)
			assert.Assert(t, wait > 0 && wait <= 1, "Retry-After: %v s", wait)
		}
	}

	expectRejections(3)
	assert.Equal(t, control.askedTrials(), 1)
	assert.Equal(t, runs(), 0)
	time.Sleep(1100 * time.Millisecond)
	control.setFailing(true)
	expectRejections(1)
	control.setFailing(false)
	time.Sleep(1100 * time.Millisecond)
	control.grantTrial()
	status, _, err := h.sendAndRead("/once/a", "poison")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusBadGateway)
	expectRejections(3)
	assert.Equal(t, runs(), 1)
	waitFor(t, "second report", func() bool { crashes, _ := control.reported(); return len(crashes) > 1 })
}

func TestCompletedTrialClearsRequest(t *testing.T) {
	control := new(fakeControl)
	h := newHarness(t, gate.Config{Control: control}, newCrashingTarget(t, "t0"))
	h.putDocument(testDocument())
	fingerprint := h.sendPoison(control)
	h.setTargets(newFakeTarget(t, "t1", respondOK))
	h.setVerdict(fingerprint, poison.VerdictQuarantined, time.Now().Add(-time.Second))
	control.grantTrial()
	for range 3 {
		status, _, err := h.sendAndRead("/once/a", "poison")
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
	}
	assert.Equal(t, control.askedTrials(), 1)
	waitFor(t, "completion", func() bool { _, completed := control.reported(); return len(completed) == 1 })
}

// Guards against a request that stays rejected for the crashes that its gate saw itself,
// while control grants it an early trial, and after that.
func TestEarlyTrialClearsRequestHeldForOwnCrashes(t *testing.T) {
	control := new(fakeControl)
	h := newHarness(t, gate.Config{Control: control})
	h.putDocument(testDocument())
	for i := range poison.MaxDirectCrashes {
		h.setTargets(newCrashingTarget(t, fmt.Sprint("t", i)))
		_, _, err := h.sendAndRead("/once/a", "poison")
		assert.NilError(t, err)
		waitFor(t, "report", func() bool { crashes, _ := control.reported(); return len(crashes) > i })
	}
	h.setTargets(newFakeTarget(t, "sound", respondOK))
	status, _, err := h.sendAndRead("/once/a", "poison")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusServiceUnavailable)

	crashes, _ := control.reported()
	h.setVerdict(crashes[0].GetFingerprints()[0], poison.VerdictQuarantined, time.Now().Add(-time.Second))
	control.grantTrial()
	for range 3 {
		status, _, err := h.sendAndRead("/once/a", "poison")
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
	}
	assert.Equal(t, control.askedTrials(), 1)
}

// Guards against a trial that ends at a target that can't be reached, with another one
// left. Which of the two is chosen first depends on their names.
func TestTrialGoesOnAtAnotherTarget(t *testing.T) {
	for i := range 8 {
		control := new(fakeControl)
		h := newHarness(t, gate.Config{Control: control}, newCrashingTarget(t, "t0"))
		h.putDocument(testDocument())
		fingerprint := h.sendPoison(control)
		names := []string{fmt.Sprint("a", i), fmt.Sprint("b", i)}
		h.setTargets(&fakeTarget{name: names[i%2], address: "127.0.0.1:1"}, newFakeTarget(t, names[1-i%2], respondOK))
		h.setVerdict(fingerprint, poison.VerdictQuarantined, time.Now().Add(-time.Second))
		control.grantTrial()
		status, _, err := h.sendAndRead("/once/a", "poison")
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
	}
}

// Guards against a Retry-After in the past, when control has answered late.
func TestRetryAfterOfUnansweredTrial(t *testing.T) {
	control := new(fakeControl)
	h := newHarness(t, gate.Config{Control: control}, newCrashingTarget(t, "t0"))
	h.putDocument(testDocument())
	fingerprint := h.sendPoison(control)
	h.setVerdict(fingerprint, poison.VerdictQuarantined, time.Now().Add(-time.Second))
	control.mu.Lock()
	control.silent = true
	control.mu.Unlock()
	response, err := h.send(context.Background(), "/once/a", "poison")
	assert.NilError(t, err)
	_ = response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	wait, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, wait > 0.5, "Retry-After: %v s", wait)
}

// Guards against a poison request that a gate without contact to control sends on.
func TestGateQuarantinesByItsOwnCrashes(t *testing.T) {
	targets := []*fakeTarget{newCrashingTarget(t, "t1"), newCrashingTarget(t, "t2"), newCrashingTarget(t, "t3"), newCrashingTarget(t, "t4")}
	h := newHarness(t, gate.Config{Control: &fakeControl{failing: true}}, targets...)
	h.putDocument(testDocument())
	statuses := make(map[int]int)
	for range 8 {
		status, _, err := h.sendAndRead("/once/a", "poison")
		assert.NilError(t, err)
		statuses[status]++
		time.Sleep(200 * time.Millisecond)
	}
	assert.DeepEqual(t, statuses, map[int]int{http.StatusBadGateway: 3, http.StatusServiceUnavailable: 5})
	status, _, err := h.sendAndRead("/once/a", "harmless")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
}

func TestSuspectRunsOnceAndIsClearedByCompletion(t *testing.T) {
	control := new(fakeControl)
	losing := newFakeTarget(t, "t1", func(r *receivedRequest) { r.reset() })
	losingToo := newFakeTarget(t, "t3", func(r *receivedRequest) { r.reset() })
	h := newHarness(t, gate.Config{Control: control, UnearnedRetriesPerSecond: 1000}, newCrashingTarget(t, "t0"))
	h.putDocument(testDocument())
	_, _, err := h.sendAndRead("/safe/a", "poison")
	assert.NilError(t, err)
	waitFor(t, "report", func() bool { crashes, _ := control.reported(); return len(crashes) > 0 })
	crashes, _ := control.reported()
	fingerprint := crashes[0].GetFingerprints()[0]
	h.setVerdict(fingerprint, poison.VerdictSuspect, time.Time{})

	healthy := newFakeTarget(t, "t2", respondOK)
	h.setTargets(losing, losingToo)
	status, _, err := h.sendAndRead("/safe/a", "poison")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusBadGateway, "a suspect is not retried")
	assert.Equal(t, losing.count()+losingToo.count(), 1)
	h.setTargets(healthy)
	status, _, err = h.sendAndRead("/safe/a", "poison")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	waitFor(t, "completion", func() bool { _, completed := control.reported(); return len(completed) > 0 })
	_, completed := control.reported()
	assert.DeepEqual(t, completed, []uint64{fingerprint})
}

// sendPoison sends the poison request, which crashes a target, and returns the
// fingerprint in the report of the crash.
func (h *harness) sendPoison(control *fakeControl) (fingerprint uint64) {
	h.t.Helper()
	_, _, err := h.sendAndRead("/once/a", "poison")
	assert.NilError(h.t, err)
	waitFor(h.t, "report", func() bool { crashes, _ := control.reported(); return len(crashes) > 0 })
	crashes, _ := control.reported()
	return crashes[0].GetFingerprints()[0]
}

// setVerdict delivers a list with one verdict.
func (h *harness) setVerdict(fingerprint uint64, verdict poison.Verdict, expires time.Time) {
	active := &wire.CrashVerdict{Fingerprint: fingerprint, Verdict: uint32(verdict), Expires: expires.UnixNano()}
	assert.NilError(h.t, h.follower.ApplyUpdate(&wire.Update{Verdicts: []*wire.CrashVerdict{active}, VerdictsSet: true}))
}

// writeUntilClose writes a response without a length or chunks, whose end is that of
// the connection.
func (r *receivedRequest) writeUntilClose(body string, fields ...string) {
	text := fmt.Sprintf("HTTP/1.1 200 X\r\nId: %s\r\n", r.id())
	for _, field := range fields {
		text += field + "\r\n"
	}
	_, _ = io.WriteString(r.conn, text+"\r\n"+body)
	_ = r.conn.(*net.TCPConn).CloseWrite()
}

func TestLogTellsResponseThatEndsWithItsConnection(t *testing.T) {
	var lines logBuffer
	target := newFakeTarget(t, "t1", func(r *receivedRequest) {
		if r.body == "until close" {
			r.writeUntilClose("whole")
			return
		}
		respondOK(r)
	})
	h := newHarness(t, gate.Config{Logger: log.NewJSONLogger(log.NewSyncWriter(&lines))}, target)
	h.putDocument(testDocument())
	for _, body := range []string{"until close", "with a length"} {
		status, _, err := h.sendAndRead("/once/a", body)
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
	}
	waitFor(t, "both ends", func() bool { return len(lines.lines("RequestEnded")) == 2 })
	ends := lines.lines("RequestEnded")
	assert.Equal(t, strings.Contains(ends[0], `"UntilClose":true`), true, ends[0])
	assert.Equal(t, strings.Contains(ends[0], `"Fingerprint"`), true, ends[0])
	assert.Equal(t, strings.Contains(ends[1], `"UntilClose"`), false, ends[1])
}

// newTargetCrashingUntilClose returns a target that crashes on the request "poison"
// within a response that ends with its connection.
func newTargetCrashingUntilClose(t *testing.T, body string, fields ...string) *fakeTarget {
	target := newFakeTarget(t, "t1", nil)
	target.handler = func(r *receivedRequest) {
		if r.body != "poison" {
			r.writeUntilClose(body, fields...)
			return
		}
		_ = target.listener.Close()
		r.writeUntilClose(body, fields...)
		_ = r.conn.Close()
	}
	return target
}

// Guards against a crash that is taken for a whole response, because the response ends
// with its connection.
func TestCrashWithinResponseUntilCloseIsReported(t *testing.T) {
	for _, c := range []struct{ name, path, body, contentType string }{
		{"buffered", "/once/a", "half of", "text/plain"},
		{"empty", "/once/a", "", "text/plain"},
		{"stream", "/stream/a", "id: 1\ndata: event 1\n\n", "text/event-stream"},
		{"empty stream", "/stream/a", "", "text/event-stream"},
	} {
		t.Run(c.name, func(t *testing.T) {
			control := new(fakeControl)
			h := newHarness(t, gate.Config{Control: control}, newTargetCrashingUntilClose(t, c.body, "Content-Type: "+c.contentType))
			h.putDocument(testDocument())
			status, body, err := h.sendAndRead(c.path, "harmless")
			assert.NilError(t, err)
			assert.Equal(t, status, http.StatusOK)
			assert.Equal(t, body, c.body)
			time.Sleep(200 * time.Millisecond) // until the target is probed
			status, _, err = h.sendAndRead(c.path, "poison")
			assert.Check(t, status != http.StatusOK || err != nil, "a response of a crashed target ends as complete")
			waitFor(t, "report", func() bool { crashes, _ := control.reported(); return len(crashes) > 0 })
			crashes, completed := control.reported()
			assert.Equal(t, len(crashes[0].GetFingerprints()), 1)
			assert.Equal(t, len(completed), 0)
		})
	}
}

// Guards against a request that stays suspect, because its responses end with their
// connections.
func TestResponseUntilCloseOfLiveTargetClearsRequest(t *testing.T) {
	control := new(fakeControl)
	h := newHarness(t, gate.Config{Control: control}, newCrashingTarget(t, "t0"))
	h.putDocument(testDocument())
	fingerprint := h.sendPoison(control)
	h.setTargets(newFakeTarget(t, "t1", func(r *receivedRequest) { r.writeUntilClose("whole") }))
	h.setVerdict(fingerprint, poison.VerdictSuspect, time.Time{})
	status, body, err := h.sendAndRead("/once/a", "poison")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, "whole")
	waitFor(t, "completion", func() bool { _, completed := control.reported(); return len(completed) == 1 })
}

// Guards against a whole response that is taken for lost or held for long, because its
// target accepts no further connection in time.
func TestResponseUntilCloseOfBusyTargetIsForwarded(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	address := listener.Addr().String()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		fillBacklog(listener.(*net.TCPListener))
		(&receivedRequest{conn: conn, request: request}).writeUntilClose("whole")
		_ = conn.Close()
	}()
	control := new(fakeControl)
	h := newHarness(t, gate.Config{Control: control}, &fakeTarget{name: "t1", address: address})
	h.putDocument(testDocument())
	began := time.Now()
	status, body, err := h.sendAndRead("/once/a", "")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, "whole")
	assert.Assert(t, time.Since(began) < time.Second, "%v", time.Since(began))
	time.Sleep(1500 * time.Millisecond) // until the probe of the target has timed out
	crashes, _ := control.reported()
	assert.Equal(t, len(crashes), 0)
}

// fillBacklog makes a listener ignore further connections.
func fillBacklog(listener *net.TCPListener) {
	raw, err := listener.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), 0) })
	for err == nil {
		_, err = net.DialTimeout("tcp", listener.Addr().String(), 50*time.Millisecond)
	}
}

// Guards against a completion that is reported for a target that crashes right after a
// response that ended with its connection.
func TestCrashRightAfterResponseUntilCloseIsNoCompletion(t *testing.T) {
	control := new(fakeControl)
	h := newHarness(t, gate.Config{Control: control}, newCrashingTarget(t, "t0"))
	h.putDocument(testDocument())
	fingerprint := h.sendPoison(control)
	target := newFakeTarget(t, "t1", nil)
	target.handler = func(r *receivedRequest) {
		r.writeUntilClose("whole")
		time.Sleep(crashingSoon)
		target.crash()
	}
	h.setTargets(target)
	h.setVerdict(fingerprint, poison.VerdictSuspect, time.Time{})
	status, _, err := h.sendAndRead("/once/a", "poison")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	waitFor(t, "report", func() bool { crashes, _ := control.reported(); return len(crashes) > 1 })
	_, completed := control.reported()
	assert.Equal(t, len(completed), 0)
}

// crashingSoon is after the check of the end of a response and before the probe.
const crashingSoon = 20 * time.Millisecond
