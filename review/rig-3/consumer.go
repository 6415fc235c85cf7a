package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// ask sends a request as a consumer does, and reports whether it was served. After a refusal it
// retries once, on a new channel to another machine, and it honors Retry-After up to a third of
// the time that is left.
func (r *rig) ask(method, path string, budget time.Duration) (served bool) {
	deadline := time.Now().Add(budget)
	machine := rand.IntN(r.machines)
	for range 2 {
		status, wait := r.attempt(machine, method, path, deadline)
		if status != http.StatusServiceUnavailable {
			return status == http.StatusOK
		}
		if wait > time.Until(deadline)/3 {
			return false
		}
		time.Sleep(wait)
		machine = (machine + 1) % r.machines
	}
	return false
}

// attempt sends one consumer attempt. It returns the status, 0 without a whole answer, and the
// time of Retry-After.
func (r *rig) attempt(machine int, method, path string, deadline time.Time) (status int, wait time.Duration) {
	id := fmt.Sprintf("%016x", rand.Uint64())
	request, err := http.NewRequest(method, "http://"+r.address(machine, frontPort)+path, http.NoBody)
	if err != nil {
		return 0, 0
	}
	request.Host = "ficu95.example"
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	request.Header.Set("X-Credential", "n2ctnfzs989anu6wsjnb")
	client := &http.Client{Timeout: time.Until(deadline), Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(request)
	if err != nil {
		r.logf("request %s, %s %s, to machine %d: %v", id, method, path, machine, err)
		return 0, 0
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		r.logf("request %s, %s %s, to machine %d: %d, broken off: %v", id, method, path, machine, response.StatusCode, err)
		return 0, 0
	}
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	wait = time.Duration(seconds * float64(time.Second))
	r.logf("request %s, %s %s, to machine %d: %d, Retry-After %v %s", id, method, path, machine, response.StatusCode, wait, failureText(response.StatusCode, string(body)))
	return response.StatusCode, wait
}
