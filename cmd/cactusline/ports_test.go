package main_test

import (
	"fmt"
	"net"
	"os"
	"sync"
	"testing"
)

// ports holds the position in the range from which freeAddress takes ports. The
// range lies below the ephemeral ports that the system assigns to clients.
var portRange struct {
	mu   sync.Mutex
	next int
}

const (
	firstPort = 12_000
	portCount = 18_000
)

// freeAddress returns a loopback address on which no process listens.
func freeAddress(t testing.TB) string {
	t.Helper()
	portRange.mu.Lock()
	defer portRange.mu.Unlock()
	if portRange.next == 0 {
		portRange.next = os.Getpid() * 131
	}
	for range maxPortTries {
		portRange.next++
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+portRange.next%portCount)
		listener, err := net.Listen("tcp", address)
		if err == nil {
			_ = listener.Close()
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}
