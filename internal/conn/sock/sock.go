// Package sock sets TCP socket options that the net package does not support.
package sock

import (
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// DialControl returns a net.Dialer.Control function that closes a connection if
// sent data stays unacknowledged for d.
func DialControl(d time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw, d) }
}

// SetBuffers sets the sizes of the kernel's buffers of conn, which the kernel doubles. It
// does nothing for connections other than TCP.
func SetBuffers(conn net.Conn, size int) error {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	if err := errors.Join(tcp.SetReadBuffer(size), tcp.SetWriteBuffer(size)); err != nil {
		return fmt.Errorf("set buffers: %w", err)
	}
	return nil
}

// SetUserTimeout closes conn if sent data stays unacknowledged for d. It does
// nothing for connections that are not sockets.
func SetUserTimeout(conn net.Conn, d time.Duration) error {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return fmt.Errorf("set user timeout: %w", err)
	}
	return setUserTimeout(raw, d)
}

func setUserTimeout(raw syscall.RawConn, d time.Duration) error {
	var sockErr error
	err := raw.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d/time.Millisecond))
	})
	if err == nil {
		err = sockErr
	}
	if err != nil {
		return fmt.Errorf("set user timeout: %w", err)
	}
	return nil
}
