package main

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	listReplicas = 3
	listMachines = 6
	listService  = "ilmo-app"
	// cutShort is an entry of another writer whose last bytes are missing.
	cutShort = `{"id":"m-1","service":"asset-mon`
	// beforeTraffic is the time between the start of the machines and that of the traffic.
	beforeTraffic = 10 * time.Second
	// lookupInterval is the time between two requests, and lookupDuration that in which they
	// are sent.
	lookupInterval = 250 * time.Millisecond
	lookupDuration = 30 * time.Second
	lookupBudget   = 2500 * time.Millisecond
)

// listCase counts the requests, those that were served and those that replicas ran.
type listCase struct {
	rig               *rig
	sent, served, ran atomic.Int64
}

// runUnreadableCase is a case whose provider lists one entry of another writer that is cut short.
func runUnreadableCase(r *rig) (broken bool, err error) {
	return runListCase(r, func([]*replica) otherWriter { return otherWriter{unreadable: cutShort} })
}

// runListCase sends requests to a fleet whose provider also lists what another writer has
// written.
func runListCase(r *rig, other func(replicas []*replica) otherWriter) (broken bool, err error) {
	c := &listCase{rig: r}
	replicas, err := r.startReplicas(listService, 0, listReplicas, c.handle)
	if err != nil {
		return false, err
	}
	var writer otherWriter
	if r.trouble {
		writer = other(replicas)
	}
	if err := r.serveList(replicas, writer); err != nil {
		return false, err
	}
	if err := r.start(listMachines); err != nil {
		return false, err
	}
	if err := r.putConfig(listConfig()); err != nil {
		return false, err
	}
	time.Sleep(beforeTraffic)
	var calls sync.WaitGroup
	for began := time.Now(); time.Since(began) < lookupDuration; time.Sleep(lookupInterval) {
		calls.Go(c.lookUp)
	}
	calls.Wait()
	r.notef("%d requests sent, %d run by replicas, %d served", c.sent.Load(), c.ran.Load(), c.served.Load())
	return c.served.Load() == 0, nil
}

// listConfig returns a config with a route of the kind of entry-lookup.
func listConfig() []byte {
	config := map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "r-look", "hostname": "ficu95.example", "pathPrefix": "/puxa403/", "type": "safe", "timeoutMs": 2500, "sloMs": 200, "priority": 1,
			"service": listService, "attempts": 2, "public": false, "sticky": false, "resumable": false,
		}},
		"services": []map[string]any{{"name": listService, "healthPath": "/healthz", "maxConns": 120, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []map[string]any{{"name": "hule930", "apiKeys": []string{"n2ctnfzs989anu6wsjnb"}, "priority": 1}},
	}
	body, err := json.Marshal(config)
	if err != nil {
		panic(err) // the config holds only values that can be encoded
	}
	return body
}

// handle runs a request as a replica.
func (c *listCase) handle(p *replica, w http.ResponseWriter, r *http.Request) {
	c.ran.Add(1)
	c.rig.logf("replica %s runs the request %s", p.id(), r.Header.Get("X-Request-Id"))
	_, _ = io.WriteString(w, strings.Repeat("e", 800)) // fails if the gate has left
}

// lookUp sends a request of a consumer.
func (c *listCase) lookUp() {
	c.sent.Add(1)
	if c.rig.ask(http.MethodGet, "/puxa403/2f", lookupBudget) {
		c.served.Add(1)
	}
}
