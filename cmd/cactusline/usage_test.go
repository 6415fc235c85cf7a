package main_test

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

const (
	// packetHeaderBytes is the size of the IP and TCP headers of a packet, with TCP
	// timestamps.
	packetHeaderBytes = 52
	// ticksPerSecond is the resolution of CPU times in /proc/PID/stat.
	ticksPerSecond = 100
)

// usage is the CPU time and memory that a process has used.
type usage struct {
	cpu      time.Duration
	resident float64 // MB
	peak     float64 // MB
}

// readUsage reads the resource usage of a process from /proc.
func readUsage(t testing.TB, pid int) usage {
	t.Helper()
	folder := "/proc/" + strconv.Itoa(pid)
	stat, err := os.ReadFile(folder + "/stat")
	assert.NilError(t, err)
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	var ticks int64
	for _, field := range fields[11:13] {
		n, err := strconv.ParseInt(field, 10, 64)
		assert.NilError(t, err)
		ticks += n
	}
	status, err := os.ReadFile(folder + "/status")
	assert.NilError(t, err)
	return usage{
		cpu:      time.Duration(ticks) * time.Second / ticksPerSecond,
		resident: statusMB(string(status), "VmRSS:"),
		peak:     statusMB(string(status), "VmHWM:"),
	}
}

func statusMB(status, name string) float64 {
	_, rest, _ := strings.Cut(status, name)
	var kilobytes float64
	_, _ = fmt.Sscan(rest, &kilobytes)
	return kilobytes / 1024
}

// testCPU returns the CPU time that the test process has used.
func testCPU(t testing.TB) time.Duration {
	t.Helper()
	var used syscall.Rusage
	assert.NilError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &used))
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}

// traffic counts the payload bytes and packets of some connections, in both
// directions.
type traffic struct {
	payload, packets uint64
}

// bytes returns the payload plus the headers of the packets.
func (t traffic) bytes() float64 { return float64(t.payload + packetHeaderBytes*t.packets) }

func (t traffic) sub(before traffic) traffic {
	return traffic{payload: t.payload - before.payload, packets: t.packets - before.packets}
}

// readTraffic sums TCP_INFO over the connections of this process that have one of
// the ports at either end. Acknowledgments count as packets.
func readTraffic(t testing.TB, ports map[int]bool) traffic {
	t.Helper()
	entries, err := os.ReadDir("/proc/self/fd")
	assert.NilError(t, err)
	var sum traffic
	for _, entry := range entries {
		fd, err := strconv.Atoi(entry.Name())
		if err != nil || (!ports[peerPort(fd)] && !ports[localPort(fd)]) {
			continue
		}
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			continue
		}
		sum.payload += info.Bytes_acked + info.Bytes_received
		sum.packets += uint64(info.Segs_out) + uint64(info.Segs_in)
	}
	return sum
}

func peerPort(fd int) int {
	address, err := unix.Getpeername(fd)
	if err != nil {
		return 0
	}
	return sockaddrPort(address)
}

// localPort returns the local port of a connection, or 0 for a listener.
func localPort(fd int) int {
	if peerPort(fd) == 0 {
		return 0
	}
	address, err := unix.Getsockname(fd)
	if err != nil {
		return 0
	}
	return sockaddrPort(address)
}

func sockaddrPort(address unix.Sockaddr) int {
	switch a := address.(type) {
	case *unix.SockaddrInet4:
		return a.Port
	case *unix.SockaddrInet6:
		return a.Port
	}
	return 0
}
