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

// devReadyLimit is how soon the fleet of the dev command must be ready.
const devReadyLimit = 2 * time.Second

// startDev runs the dev command on a data folder. It returns the lines printed up to
// the second curl command, and the address of the router.
func startDev(t *testing.T, data string) (lines []string, routerAddress string) {
	t.Helper()
	routerAddress = freeAddress(t)
	cmd := exec.Command(binary, "dev", "--callers", routerAddress, "--admin", freeAddress(t), "--data", data)
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
	assert.Assert(t, time.Since(started) < devReadyLimit, "ready after %v", time.Since(started))
	return lines, routerAddress
}

// TestDevServesPrintedCurlCommands sends the requests of the printed curl commands.
// The registration, sent twice and once more after a restart on the same data
// folder, must run only once.
func TestDevServesPrintedCurlCommands(t *testing.T) {
	data := t.TempDir()
	t.Run("first start", func(t *testing.T) {
		lines, routerAddress := startDev(t, data)
		assert.Assert(t, strings.Contains(lines[1], "http://"+routerAddress+"/v1/chat/completions"))
		assert.Assert(t, strings.Contains(lines[2], "http://"+routerAddress+"/services/registration/bibs"))
		body := devCall(t, routerAddress, "/v1/chat/completions", `{"model":"stand-in","stream":true,"messages":[{"role":"user","content":"hello"}]}`)
		assert.Assert(t, bytes.HasSuffix(body, []byte("data: [DONE]\n\n")), "%s", body)
		assert.Equal(t, registerWithDev(t, routerAddress), 1)
		assert.Equal(t, registerWithDev(t, routerAddress), 1)

		second := exec.Command(binary, "dev", "--callers", freeAddress(t), "--admin", freeAddress(t), "--data", data)
		output, err := second.CombinedOutput()
		assert.Assert(t, err != nil)
		assert.Assert(t, bytes.Contains(output, []byte("data folder in use by another process")), "%s", output)
	})
	t.Run("after a restart", func(t *testing.T) {
		_, routerAddress := startDev(t, data)
		assert.Equal(t, registerWithDev(t, routerAddress), 1)
	})
}

func registerWithDev(t *testing.T, routerAddress string) int {
	t.Helper()
	var answer struct{ Runs int }
	body := devCall(t, routerAddress, "/services/registration/bibs", `{"Runner":"Aino"}`)
	assert.NilError(t, json.Unmarshal(body, &answer), "%s", body)
	return answer.Runs
}

func devCall(t *testing.T, routerAddress, path, body string) []byte {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+routerAddress+path, strings.NewReader(body))
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
