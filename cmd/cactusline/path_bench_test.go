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
	// moderateRate is requests a second, of which half go to an engine
	// directly and half through a router.
	moderateRate    = 1000
	moderateWorkers = 32
	shortWorkers    = 128
	shortTokens     = 1
	streamTokens    = 16
	// highestLatency bounds the histograms.
	highestLatency = 10 * time.Second
	latencyDigits  = 3
)

// BenchmarkPath measures the way through router and sidecar to engines that
// take no time. All roles, the engines and the load share this process.
func BenchmarkPath(b *testing.B) {
	f := startFleet(b, fleetConfig{controls: 1, engines: 8, routers: 1, inside: true})
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: shortWorkers}}
	for _, address := range f.routerAddresses {
		await(b, startTimeout, "the path answers", func() bool {
			request := newChat("warm up", 4, true)
			return newCaller(address).chat(b.Context(), request, nil).whole(request)
		})
	}
	routed := endpoint{client: client, url: "http://" + f.routerAddresses[0] + "/v1/chat/completions"}
	direct := endpoint{client: client, url: "http://" + f.engineAddresses[0] + "/v1/chat/completions"}
	b.Run("FirstToken", func(b *testing.B) { measureFirstToken(b, direct, routed) })
	b.Run("Short/direct", func(b *testing.B) { measureShort(b, direct) })
	b.Run("Short/routed", func(b *testing.B) { measureShort(b, routed) })
}

// endpoint takes chats.
type endpoint struct {
	client *http.Client
	url    string
}

// first makes a chat and returns the time to the first byte of its body. It
// reports false if the chat was refused.
func (e endpoint) first(b *testing.B, body []byte) (time.Duration, bool) {
	begun := time.Now()
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
	took := time.Since(begun)
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

// latencies is a histogram that several goroutines write.
type latencies struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

func newLatencies() *latencies {
	return &latencies{histogram: hdrhistogram.New(1, highestLatency.Nanoseconds(), latencyDigits)}
}

func (l *latencies) record(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.histogram.RecordValue(d.Nanoseconds())
}

func (l *latencies) micros(quantile float64) float64 {
	return float64(l.histogram.ValueAtQuantile(quantile)) / float64(time.Microsecond)
}

// measureFirstToken makes streamed chats at a steady rate, in turn directly
// and routed, and reports what the way adds at the median and at the 99th
// percentile.
func measureFirstToken(b *testing.B, direct, routed endpoint) {
	endpoints := []endpoint{direct, routed}
	seen := []*latencies{newLatencies(), newLatencies()}
	var refused atomic.Int64
	turns := make(chan int, moderateWorkers)
	var wg sync.WaitGroup
	for range moderateWorkers {
		wg.Go(func() {
			for i := range turns {
				took, ok := endpoints[i%2].first(b, chatBody(b, fmt.Sprintf("question %d", i), streamTokens, true))
				if !ok {
					refused.Add(1)
					continue
				}
				seen[i%2].record(took)
			}
		})
	}
	begun := time.Now()
	for i := range b.N {
		time.Sleep(time.Until(begun.Add(time.Duration(i) * time.Second / moderateRate)))
		turns <- i
	}
	close(turns)
	wg.Wait()
	for _, quantile := range []float64{50, 99} {
		d, r := seen[0].micros(quantile), seen[1].micros(quantile)
		b.ReportMetric(d, fmt.Sprintf("p%.0f-direct-µs", quantile))
		b.ReportMetric(r, fmt.Sprintf("p%.0f-routed-µs", quantile))
		b.ReportMetric(r-d, fmt.Sprintf("p%.0f-added-µs", quantile))
	}
	b.ReportMetric(float64(refused.Load()), "refused")
}

// measureShort makes short chats as fast as they are answered and reports
// their rate and the processor time that each costs all roles and the load.
func measureShort(b *testing.B, e endpoint) {
	var next, refused atomic.Int64
	before, attempts := processorTime(b), attemptsMade(b)
	begun := time.Now()
	var wg sync.WaitGroup
	for range shortWorkers {
		wg.Go(func() {
			for {
				i := next.Add(1)
				if i > int64(b.N) {
					return
				}
				if _, ok := e.first(b, chatBody(b, fmt.Sprintf("short %d", i), shortTokens, false)); !ok {
					refused.Add(1)
				}
			}
		})
	}
	wg.Wait()
	b.ReportMetric(float64(b.N)/time.Since(begun).Seconds(), "requests/s")
	b.ReportMetric(float64(processorTime(b)-before)/float64(b.N)/float64(time.Microsecond), "cpu-µs/op")
	b.ReportMetric((attemptsMade(b)-attempts)/float64(b.N), "attempts/op")
	b.ReportMetric(float64(refused.Load()), "refused")
}

// processorTime returns the user and system time of this process.
func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// attemptsMade returns how many attempts the routers of this process made.
func attemptsMade(b *testing.B) float64 {
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
