// Package sock sets options of TCP connections that the net package does not
// know.
package sock

import (
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Control returns what lets a dialer's connections end when sent bytes stay
// without acknowledgement for d.
func Control(d time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error { return set(raw, d) }
}

// EndUnacknowledged lets a connection end when sent bytes stay without
// acknowledgement for d. Connections other than TCP stay as they are.
func EndUnacknowledged(conn net.Conn, d time.Duration) error {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return fmt.Errorf("set user timeout: %w", err)
	}
	return set(raw, d)
}

func set(raw syscall.RawConn, d time.Duration) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d/time.Millisecond))
	})
	if err == nil {
		err = failure
	}
	if err != nil {
		return fmt.Errorf("set user timeout: %w", err)
	}
	return nil
}
