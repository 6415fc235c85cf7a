package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	poisonReplicas = 9
	poisonMachines = 6
	// poisonPart is the last part of the prompt of the request that crashes replicas. It
	// belongs to that request alone.
	poisonPart = "dead0001"
	// systemPart begins all prompts, and subject is shared by the prompt of the request that
	// crashes replicas and those of ordinary requests.
	systemPart = "5c1e07a2"
	subject    = "91bd3f06"
	// otherSubjects is the number of other subjects.
	otherSubjects = 31
	// ordinaryInterval is the time between requests for other subjects, and subjectInterval
	// that between ordinary requests for the subject of the one that crashes replicas: 21 a
	// second for 32 subjects, as in the site file.
	ordinaryInterval = 50 * time.Millisecond
	subjectInterval  = 1500 * time.Millisecond
	// returnInterval is the time after which the request that crashes replicas comes again.
	returnInterval = 5 * time.Second
	warmUp         = 5 * time.Second
	poisonDuration = 44 * time.Second
	// contactTime is the contactMs of the settings, and mostRetries the number of retries
	// that the rule allows after it.
	contactTime  = 3 * time.Second
	mostRetries  = 3
	timeBudget   = 4 * time.Second
	runUntilHit  = 10 * time.Millisecond
	streamLength = 8
	streamPause  = 25 * time.Millisecond
)

// poisonCase counts what the replicas see of the request that crashes them.
type poisonCase struct {
	rig *rig

	mu       sync.Mutex
	arrivals []time.Time
	crashes  []time.Time
	served   int
	// refused counts the ordinary requests that ended refused, and brokenOff those whose
	// answer broke off or was lost.
	refused   int
	brokenOff int
}

// runPoisonCase sends ordinary requests, and beside them a request that crashes each replica
// that begins to run it and that shares a part of its prompt with some of them.
func runPoisonCase(r *rig) (broken bool, err error) {
	c := &poisonCase{rig: r}
	replicas, err := r.startReplicas("llm", 0, poisonReplicas, c.handle)
	if err != nil {
		return false, err
	}
	if err := r.serveList(replicas, otherWriter{}); err != nil {
		return false, err
	}
	if err := r.start(poisonMachines); err != nil {
		return false, err
	}
	if err := r.putConfig(poisonConfig()); err != nil {
		return false, err
	}
	if err := r.waitReady(); err != nil {
		return false, err
	}
	c.sendAll()
	return c.judge()
}

// poisonConfig returns a config with a route like that of the example for streams that may
// be resumed.
func poisonConfig() []byte {
	config := map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "r-ask", "hostname": "ficu95.example", "pathPrefix": "/pufi791/", "type": "stream", "timeoutMs": 4000, "sloMs": 500, "priority": 0,
			"service": "llm", "attempts": 2, "public": false, "sticky": true, "resumable": true, "itlTargetMs": 250,
		}},
		"services": []map[string]any{{
			"name": "llm", "healthPath": "/healthz", "maxConns": 380, "protocol": "h1", "tls": false,
			"runtime": map[string]any{"slots": replicaSlots, "kvCapacity": 316509, "kvBytes": 163840, "linkMbps": 740000.0, "models": []map[string]any{{"name": "m"}}},
		}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "hule930", "apiKeys": []string{"n2ctnfzs989anu6wsjnb"}, "priority": 1}},
	}
	body, err := json.Marshal(config)
	if err != nil {
		panic(err) // the config holds only values that can be encoded
	}
	return body
}

// handle runs a request as a replica.
func (c *poisonCase) handle(p *replica, w http.ResponseWriter, r *http.Request) {
	if !strings.Contains(r.Header.Get("X-Prompt-Prefix"), poisonPart+":") {
		streamEvents(w, r, streamLength, streamPause)
		return
	}
	c.mu.Lock()
	c.arrivals = append(c.arrivals, time.Now())
	c.mu.Unlock()
	c.rig.logf("replica %s begins to run the request with the part %s, id %s", p.id(), poisonPart, r.Header.Get("X-Request-Id"))
	if !c.rig.trouble {
		streamEvents(w, r, streamLength, streamPause)
		return
	}
	time.Sleep(runUntilHit)
	c.mu.Lock()
	c.crashes = append(c.crashes, time.Now())
	c.mu.Unlock()
	p.crash()
	panic(http.ErrAbortHandler)
}

// sendAll sends all requests for poisonDuration.
func (c *poisonCase) sendAll() {
	ctx, cancel := context.WithTimeout(context.Background(), poisonDuration)
	defer cancel()
	var senders sync.WaitGroup
	senders.Go(func() {
		c.repeat(ctx, ordinaryInterval, func() { c.ask(fmt.Sprintf("e44%05x", rand.IntN(otherSubjects)), c.ownPart(), 0) })
	})
	senders.Go(func() { c.repeat(ctx, subjectInterval, func() { c.ask(subject, c.ownPart(), 0) }) })
	senders.Go(func() {
		time.Sleep(warmUp)
		c.repeat(ctx, returnInterval, func() { c.ask(subject, poisonPart, 1) })
	})
	senders.Wait()
}

func (c *poisonCase) ownPart() string { return fmt.Sprintf("a%07x", rand.IntN(1<<28)) }

// repeat calls send at intervals until ctx ends, and waits for the calls.
func (c *poisonCase) repeat(ctx context.Context, interval time.Duration, send func()) {
	var calls sync.WaitGroup
	defer calls.Wait()
	for ctx.Err() == nil {
		calls.Go(send)
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		}
	}
}

// ask sends a request as a consumer does: after a failure it retries once, on a new channel
// to another machine, and it honors Retry-After up to a third of the time that is left.
func (c *poisonCase) ask(second, own string, retries int) {
	deadline := time.Now().Add(timeBudget)
	machine := rand.IntN(poisonMachines)
	status := 0
	for attempt := 0; attempt <= retries; attempt++ {
		var wait time.Duration
		var whole bool
		status, wait, whole = c.attempt(machine, second, own, deadline)
		if whole {
			c.count(own, true, status)
			return
		}
		left := time.Until(deadline)
		if status == http.StatusServiceUnavailable && wait > left/3 {
			break
		}
		if status == http.StatusServiceUnavailable {
			time.Sleep(wait)
		}
		machine = (machine + 1) % poisonMachines
	}
	c.count(own, false, status)
}

func (c *poisonCase) count(own string, served bool, status int) {
	if own == poisonPart {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case served:
		c.served++
	case status == http.StatusServiceUnavailable:
		c.refused++
	default:
		c.brokenOff++
	}
}

// attempt sends one consumer attempt. It returns the status, 0 without an answer, the time of
// Retry-After and whether the stream came to its last event.
func (c *poisonCase) attempt(machine int, second, own string, deadline time.Time) (status int, wait time.Duration, whole bool) {
	id := fmt.Sprintf("%016x", rand.Uint64())
	request, err := http.NewRequest(http.MethodPost, "http://"+c.rig.address(machine, frontPort)+"/pufi791/2f", strings.NewReader("prompt "+own))
	if err != nil {
		return 0, 0, false
	}
	request.Host = "ficu95.example"
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Model", "m")
	request.Header.Set("X-Token-Count", "1460,80")
	request.Header.Set("X-Prompt-Prefix", fmt.Sprintf("%s:800,%s:410,%s:250", systemPart, second, own))
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	request.Header.Set("X-Credential", "n2ctnfzs989anu6wsjnb")
	client := &http.Client{Timeout: time.Until(deadline), Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	text, answer := "", "no answer"
	response, err := client.Do(request)
	if err == nil {
		body, _ := io.ReadAll(response.Body) // a stream that breaks off is not whole
		_ = response.Body.Close()
		status, text = response.StatusCode, string(body)
		seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		wait = time.Duration(seconds * float64(time.Second))
		answer = strconv.Itoa(status)
	}
	whole = status == http.StatusOK && strings.Contains(text, fmt.Sprintf("id: %d\n", streamLength))
	if second == subject || !whole {
		c.rig.logf("request %s (parts %s, %s) to machine %d: %s, whole %t, Retry-After %v %s", id, second, own, machine, answer, whole, wait, failureText(status, text))
	}
	return status, wait, whole
}

// failureText returns the body of a failure.
func failureText(status int, text string) string {
	if status == http.StatusOK {
		return ""
	}
	return strings.TrimSpace(text)
}

// judge applies the rule.
func (c *poisonCase) judge() (broken bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rig.notef("ordinary requests: %d served, %d refused, %d broken off or lost", c.served, c.refused, c.brokenOff)
	c.rig.notef("the request with the part %s reached replicas %d times and crashed %d", poisonPart, len(c.arrivals), len(c.crashes))
	if failed := c.refused + c.brokenOff; c.served < failed {
		return false, fmt.Errorf("ordinary requests are not served: %d of %d", c.served, c.served+failed)
	}
	if len(c.crashes) < mostRetries {
		return false, nil
	}
	late := 0
	for _, at := range c.arrivals {
		if at.Sub(c.crashes[2]) > contactTime {
			late++
		}
	}
	c.rig.notef("%d retries reached replicas later than %v after the third crash, %d are allowed", late, contactTime, mostRetries)
	return late > mostRetries, nil
}
