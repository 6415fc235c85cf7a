package main_test

import (
	"fmt"
	"net"
	"os"
	"sync"
	"testing"
)

// portAllocator holds the offset of the last port that freeAddress tried. Ports are
// taken from a range below the ephemeral ports that the system assigns to clients.
var portAllocator struct {
	mu         sync.Mutex
	lastOffset int
}

const (
	firstPort = 12_000
	portCount = 18_000
)

// freeAddress returns a loopback address on which no process listens.
func freeAddress(t testing.TB) string {
	t.Helper()
	portAllocator.mu.Lock()
	defer portAllocator.mu.Unlock()
	if portAllocator.lastOffset == 0 {
		portAllocator.lastOffset = os.Getpid() * 131
	}
	for range maxPortTries {
		portAllocator.lastOffset++
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+portAllocator.lastOffset%portCount)
		listener, err := net.Listen("tcp", address)
		if err == nil {
			_ = listener.Close()
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}
