package lab

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// operatorPatience is how long the operator waits for a response.
const operatorPatience = time.Second

// Route is a route of a config.
type Route struct {
	Name        string `json:"name"`
	Hostname    string `json:"hostname"`
	PathPrefix  string `json:"pathPrefix"`
	Type        string `json:"type"`
	TimeoutMs   int    `json:"timeoutMs"`
	SloMs       int    `json:"sloMs"`
	Priority    int    `json:"priority"`
	Service     string `json:"service"`
	Attempts    int    `json:"attempts"`
	Public      bool   `json:"public"`
	Sticky      bool   `json:"sticky"`
	Resumable   bool   `json:"resumable"`
	ItlTargetMs int    `json:"itlTargetMs,omitempty"`
}

// Service is a service of a config.
type Service struct {
	Name       string `json:"name"`
	HealthPath string `json:"healthPath"`
	MaxConns   int    `json:"maxConns"`
	Protocol   string `json:"protocol"`
	TLS        bool   `json:"tls"`
}

// Limits are the limits of a config.
type Limits struct {
	MaxHeaderBytes  int `json:"maxHeaderBytes"`
	MaxBodyBytes    int `json:"maxBodyBytes"`
	HeaderTimeoutMs int `json:"headerTimeoutMs"`
	IdleTimeoutMs   int `json:"idleTimeoutMs"`
}

// Config is a config of the operator.
type Config struct {
	Version  uint64    `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
}

// NewConfig returns a config with the limits of the pages.
func NewConfig(version uint64, routes ...Route) Config {
	config := Config{
		Version: version, Routes: routes,
		Limits: Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 4194304, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000},
	}
	seen := make(map[string]bool)
	for _, route := range routes {
		if !seen[route.Service] {
			config.Services = append(config.Services, Service{Name: route.Service, HealthPath: "/healthz", MaxConns: 120, Protocol: "h1"})
		}
		seen[route.Service] = true
	}
	return config
}

// Put sends a config to a machine. A status of 0 means that no clear response came.
func (f *Fleet) Put(m *Machine, config Config) int {
	status, _ := f.call(m, http.MethodPut, Encode(config))
	f.Record.Logf("operator: PUT version %d at %s: %d", config.Version, m.Name, status)
	return status
}

// Get reads the config from a machine. The version is 0 unless the status is 200.
func (f *Fleet) Get(m *Machine) (status int, version uint64) {
	status, body := f.call(m, http.MethodGet, nil)
	var config Config
	if status == http.StatusOK && json.Unmarshal(body, &config) == nil {
		version = config.Version
	}
	f.Record.Logf("operator: GET at %s: %d, version %d", m.Name, status, version)
	return status, version
}

func (f *Fleet) call(m *Machine, method string, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), operatorPatience)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+f.Control(m)+"/cactusline/config", bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Header.Set("Content-Type", "application/json")
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, data
}

// PutAnywhere sends a config to one machine after the other, with a pause between, until
// it is acknowledged or the time is over.
func (f *Fleet) PutAnywhere(config Config, patience time.Duration, machines ...*Machine) error {
	const pause = 200 * time.Millisecond
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); {
		for _, m := range machines {
			if f.Put(m, config) == http.StatusOK {
				return nil
			}
			time.Sleep(pause)
		}
	}
	return fmt.Errorf("version %d was not acknowledged within %v", config.Version, patience)
}
