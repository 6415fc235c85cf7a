package main_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// devReadyTime is how soon the small fleet must be ready.
const devReadyTime = 2 * time.Second

// startDev starts the small fleet on a data folder and returns the lines that
// it prints up to its second curl line.
func startDev(t *testing.T, data string) (lines []string, callers string) {
	t.Helper()
	callers = freeAddress(t)
	cmd := exec.Command(binary, "dev", "--callers", callers, "--admin", freeAddress(t), "--data", data)
	out, err := cmd.StdoutPipe()
	assert.NilError(t, err)
	started := time.Now()
	assert.NilError(t, cmd.Start())
	t.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGTERM)
		_, _ = io.Copy(io.Discard, out)
		_ = cmd.Wait()
	})
	scanner := bufio.NewScanner(out)
	curls := 0
	for curls < 2 && scanner.Scan() {
		lines = append(lines, scanner.Text())
		if strings.HasPrefix(scanner.Text(), "curl ") {
			curls++
		}
	}
	assert.Equal(t, curls, 2)
	assert.Assert(t, time.Since(started) < devReadyTime, "ready after %v", time.Since(started))
	return lines, callers
}

// TestDevAnswersThePrintedLines makes the calls that the printed curl lines
// make, the bib twice and once more after a restart on the same data folder.
func TestDevAnswersThePrintedLines(t *testing.T) {
	data := t.TempDir()
	t.Run("first start", func(t *testing.T) {
		lines, callers := startDev(t, data)
		assert.Assert(t, strings.Contains(lines[1], "http://"+callers+"/v1/chat/completions"))
		assert.Assert(t, strings.Contains(lines[2], "http://"+callers+"/services/registration/bibs"))
		body := devCall(t, callers, "/v1/chat/completions", `{"model":"stand-in","stream":true,"messages":[{"role":"user","content":"hello"}]}`)
		assert.Assert(t, bytes.HasSuffix(body, []byte("data: [DONE]\n\n")), "%s", body)
		assert.Equal(t, devRuns(t, callers), 1)
		assert.Equal(t, devRuns(t, callers), 1)

		second := exec.Command(binary, "dev", "--callers", freeAddress(t), "--admin", freeAddress(t), "--data", data)
		said, err := second.CombinedOutput()
		assert.Assert(t, err != nil)
		assert.Assert(t, bytes.Contains(said, []byte("data folder in use by another process")), "%s", said)
	})
	t.Run("after a restart", func(t *testing.T) {
		_, callers := startDev(t, data)
		assert.Equal(t, devRuns(t, callers), 1)
	})
}

func devRuns(t *testing.T, callers string) int {
	t.Helper()
	var answer struct{ Runs int }
	body := devCall(t, callers, "/services/registration/bibs", `{"Runner":"Aino"}`)
	assert.NilError(t, json.Unmarshal(body, &answer), "%s", body)
	return answer.Runs
}

func devCall(t *testing.T, callers, path, body string) []byte {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+callers+path, strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer dev-key")
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Idempotency-Key", "runner-1")
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return answer
}
