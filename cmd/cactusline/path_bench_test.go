package main_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/version/ident"
)

const (
	// moderateRate is the number of requests per second, half of them sent to an
	// engine directly and half through a router.
	moderateRate    = 1000
	moderateWorkers = 32
	shortWorkers    = 128
	shortTokens     = 1
	streamTokens    = 16
	// maxLatency is the upper bound of the histograms.
	maxLatency    = 10 * time.Second
	latencyDigits = 3
)

// BenchmarkPath measures the latency and CPU time that router and sidecar add to
// requests to engines without delay. All roles, the engines and the load generator
// run in this process.
func BenchmarkPath(b *testing.B) {
	f := startFleet(b, fleetConfig{controls: 1, engines: 8, routers: 1, inProcess: true})
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: shortWorkers}}
	for _, address := range f.routerAddresses {
		await(b, startTimeout, "the path answers", func() bool {
			request := newChat("warm up", 4, true)
			return newCaller(address).chat(b.Context(), request, nil).complete(request)
		})
	}
	routed := endpoint{client: client, url: "http://" + f.routerAddresses[0] + "/v1/chat/completions"}
	direct := endpoint{client: client, url: "http://" + f.engineAddresses[0] + "/v1/chat/completions"}
	b.Run("FirstToken", func(b *testing.B) { measureFirstToken(b, direct, routed) })
	b.Run("Short/direct", func(b *testing.B) { measureShort(b, direct) })
	b.Run("Short/routed", func(b *testing.B) { measureShort(b, routed) })
}

// endpoint is a URL that accepts chat requests.
type endpoint struct {
	client *http.Client
	url    string
}

// send sends a chat and returns the time to the first byte of the response body. It
// returns false if the chat was refused.
func (e endpoint) send(b *testing.B, body []byte) (time.Duration, bool) {
	start := time.Now()
	req, err := http.NewRequestWithContext(b.Context(), http.MethodPost, e.url, bytes.NewReader(body))
	if err != nil {
		b.Error(err)
		return 0, false
	}
	req.Header.Set("Authorization", "Bearer "+callerKey)
	resp, err := e.client.Do(req)
	if err != nil {
		b.Error(err)
		return 0, false
	}
	defer resp.Body.Close()
	if _, err := io.ReadFull(resp.Body, make([]byte, 1)); err != nil {
		b.Error(err)
		return 0, false
	}
	took := time.Since(start)
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		b.Error(err)
	}
	return took, resp.StatusCode == http.StatusOK
}

func chatBody(b *testing.B, text string, tokens ident.Tokens, stream bool) []byte {
	body, err := json.Marshal(newChat(text, tokens, stream))
	assert.NilError(b, err)
	return body
}

// latencies is a latency histogram for concurrent use.
type latencies struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

func newLatencies() *latencies {
	return &latencies{histogram: hdrhistogram.New(1, maxLatency.Nanoseconds(), latencyDigits)}
}

func (l *latencies) record(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.histogram.RecordValue(d.Nanoseconds())
}

func (l *latencies) micros(percentile float64) float64 {
	return float64(l.histogram.ValueAtQuantile(percentile)) / float64(time.Microsecond)
}

// measureFirstToken sends streamed chats at a constant rate, alternating between
// direct and routed, and reports the time to the first byte for both and their
// difference, at the median and the 99th percentile.
func measureFirstToken(b *testing.B, direct, routed endpoint) {
	endpoints := []endpoint{direct, routed}
	perEndpoint := []*latencies{newLatencies(), newLatencies()}
	var refused atomic.Int64
	indexes := make(chan int, moderateWorkers)
	var wg sync.WaitGroup
	for range moderateWorkers {
		wg.Go(func() {
			for i := range indexes {
				took, ok := endpoints[i%2].send(b, chatBody(b, fmt.Sprintf("question %d", i), streamTokens, true))
				if !ok {
					refused.Add(1)
					continue
				}
				perEndpoint[i%2].record(took)
			}
		})
	}
	start := time.Now()
	for i := range b.N {
		time.Sleep(time.Until(start.Add(time.Duration(i) * time.Second / moderateRate)))
		indexes <- i
	}
	close(indexes)
	wg.Wait()
	for _, percentile := range []float64{50, 99} {
		d, r := perEndpoint[0].micros(percentile), perEndpoint[1].micros(percentile)
		b.ReportMetric(d, fmt.Sprintf("p%.0f-direct-µs", percentile))
		b.ReportMetric(r, fmt.Sprintf("p%.0f-routed-µs", percentile))
		b.ReportMetric(r-d, fmt.Sprintf("p%.0f-added-µs", percentile))
	}
	b.ReportMetric(float64(refused.Load()), "refused")
}

// measureShort sends short chats as fast as they are answered. It reports their
// rate and the CPU time per chat, which includes all roles and the load generator.
func measureShort(b *testing.B, e endpoint) {
	var next, refused atomic.Int64
	before, attempts := processCPU(b), attemptCount(b)
	start := time.Now()
	var wg sync.WaitGroup
	for range shortWorkers {
		wg.Go(func() {
			for {
				i := next.Add(1)
				if i > int64(b.N) {
					return
				}
				if _, ok := e.send(b, chatBody(b, fmt.Sprintf("short %d", i), shortTokens, false)); !ok {
					refused.Add(1)
				}
			}
		})
	}
	wg.Wait()
	b.ReportMetric(float64(b.N)/time.Since(start).Seconds(), "requests/s")
	b.ReportMetric(float64(processCPU(b)-before)/float64(b.N)/float64(time.Microsecond), "cpu-µs/op")
	b.ReportMetric((attemptCount(b)-attempts)/float64(b.N), "attempts/op")
	b.ReportMetric(float64(refused.Load()), "refused")
}

// processCPU returns the user and system CPU time of this process.
func processCPU(b *testing.B) time.Duration {
	var usage syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// attemptCount returns the number of attempts made by the routers of this process.
func attemptCount(b *testing.B) float64 {
	var text bytes.Buffer
	metrics.WritePrometheus(&text, false)
	var sum float64
	for line := range strings.Lines(text.String()) {
		if !strings.HasPrefix(line, "cactusline_attempts_total{") {
			continue
		}
		value, err := strconv.ParseFloat(strings.TrimSpace(line[strings.LastIndexByte(line, ' '):]), 64)
		assert.NilError(b, err)
		sum += value
	}
	return sum
}
