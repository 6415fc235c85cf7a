package main_test

import (
	"fmt"
	"net"
	"os"
	"sync"
	"testing"
)

// ports hands out ports below those that the system gives to clients.
var ports struct {
	mu   sync.Mutex
	next int
}

const (
	firstPort = 12_000
	portCount = 18_000
)

// freeAddress returns a loopback address that nobody listens on.
func freeAddress(t testing.TB) string {
	t.Helper()
	ports.mu.Lock()
	defer ports.mu.Unlock()
	if ports.next == 0 {
		ports.next = os.Getpid() * 131
	}
	for range portTries {
		ports.next++
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+ports.next%portCount)
		listener, err := net.Listen("tcp", address)
		if err == nil {
			_ = listener.Close()
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}
