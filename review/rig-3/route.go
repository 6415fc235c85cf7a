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
	// routeReplicas is the number of replicas of each of two services.
	routeReplicas = 3
	routeMachines = 6
	ordersService = "ilmo-app"
	ledgerService = "tili-app"
	// ordersPath and ledgerPath are led to one of the services each.
	ordersPath = "/puxa403/2f"
	ledgerPath = "/lohu930/2f"
	// writerDelay is the time after which the entry of the other writer comes.
	writerDelay   = 5 * time.Second
	orderInterval = 100 * time.Millisecond
	orderDuration = 25 * time.Second
	orderBudget   = 2500 * time.Millisecond
)

// routeCase counts the requests, and those that replicas of the wrong service ran.
type routeCase struct {
	rig                 *rig
	sent, served, wrong atomic.Int64
}

// runRouteCase sends requests for two services to a fleet whose provider lists one entry of
// another writer. That entry has none of the fields of an entry, but others whose names differ
// from theirs by capitals.
func runRouteCase(r *rig) (broken bool, err error) {
	c := &routeCase{rig: r}
	orders, err := r.startReplicas(ordersService, 0, routeReplicas, c.handle)
	if err != nil {
		return false, err
	}
	ledger, err := r.startReplicas(ledgerService, routeReplicas, routeReplicas, c.handle)
	if err != nil {
		return false, err
	}
	var listed atomic.Bool
	other := otherWriter{entries: func() []map[string]any {
		if !listed.Load() {
			return nil
		}
		return []map[string]any{capitalizedEntry(ledger[0])}
	}}
	if err := r.serveList(append(orders, ledger...), other); err != nil {
		return false, err
	}
	if err := r.start(routeMachines); err != nil {
		return false, err
	}
	if err := r.putConfig(routeConfig()); err != nil {
		return false, err
	}
	if err := r.waitReady(); err != nil {
		return false, err
	}
	if r.trouble {
		time.AfterFunc(writerDelay, func() { listed.Store(true) })
	}
	var calls sync.WaitGroup
	for began := time.Now(); time.Since(began) < orderDuration; time.Sleep(orderInterval) {
		for _, path := range []string{ordersPath, ledgerPath} {
			calls.Go(func() { c.order(path) })
		}
	}
	calls.Wait()
	r.notef("%d requests sent, %d served, %d run by a service that their route does not name", c.sent.Load(), c.served.Load(), c.wrong.Load())
	return c.wrong.Load() > 0, nil
}

// capitalizedEntry returns the entry of another writer about a replica of the ledger. It names
// the service of the orders.
func capitalizedEntry(p *replica) map[string]any {
	entry := p.listEntry()
	return map[string]any{
		"ID": entry["id"], "Service": ordersService, "Addr": entry["addr"], "Zone": entry["zone"], "Version": entry["version"],
		"Slots": entry["slots"], "State": entry["state"], "ColdLeftMs": entry["coldLeftMs"],
	}
}

// routeConfig returns a config with two routes of the kind of bib-assign.
func routeConfig() []byte {
	var routes, services []map[string]any
	for _, name := range []string{ordersService, ledgerService} {
		path := ordersPath
		if name == ledgerService {
			path = ledgerPath
		}
		routes = append(routes, map[string]any{
			"name": "r-" + name, "hostname": "ficu95.example", "pathPrefix": path[:strings.LastIndex(path, "/")+1], "type": "unsafe",
			"timeoutMs": 2500, "sloMs": 200, "priority": 1, "service": name, "attempts": 2, "public": false, "sticky": false, "resumable": false,
		})
		services = append(services, map[string]any{"name": name, "healthPath": "/healthz", "maxConns": 120, "protocol": "h1", "tls": false})
	}
	body, err := json.Marshal(map[string]any{
		"version": 7, "routes": routes, "services": services,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "hule930", "apiKeys": []string{"n2ctnfzs989anu6wsjnb"}, "priority": 1}},
	})
	if err != nil {
		panic(err) // the config holds only values that can be encoded
	}
	return body
}

// handle runs a request as a replica.
func (c *routeCase) handle(p *replica, w http.ResponseWriter, r *http.Request) {
	c.rig.logf("replica %s of %s runs the request %s of %s", p.id(), p.service, r.Header.Get("X-Request-Id"), r.URL.Path)
	if (r.URL.Path == ordersPath) != (p.service == ordersService) {
		c.wrong.Add(1)
	}
	_, _ = io.WriteString(w, strings.Repeat("e", 800)) // fails if the gate has left
}

// order sends a request of a consumer.
func (c *routeCase) order(path string) {
	c.sent.Add(1)
	if c.rig.ask(http.MethodPost, path, orderBudget) {
		c.served.Add(1)
	}
}
