package connpool

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// KeepAlive configures how soon TCP connections whose network path is broken are detected.
type KeepAlive struct {
	// Idle is the time without data after which the kernel probes the peer, and Interval
	// the time between two probes. Both are rounded to seconds.
	Idle, Interval time.Duration
	// Count is the number of unacknowledged probes after which the connection is closed.
	// 0 disables the probes.
	Count int
	// UserTimeout is how long written data may stay unacknowledged (TCP_USER_TIMEOUT). 0
	// leaves that to the kernel.
	UserTimeout time.Duration
}

// NewDialer returns a dialer whose connections use k.
func NewDialer(k KeepAlive) *net.Dialer {
	return &net.Dialer{KeepAliveConfig: k.toConfig(), Control: k.setUserTimeout}
}

// NewListenConfig returns a listen configuration whose accepted connections use k.
func NewListenConfig(k KeepAlive) *net.ListenConfig {
	return &net.ListenConfig{KeepAliveConfig: k.toConfig(), Control: k.setUserTimeout}
}

func (k KeepAlive) toConfig() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: k.Count > 0, Idle: k.Idle, Interval: k.Interval, Count: k.Count}
}

// setUserTimeout sets TCP_USER_TIMEOUT on a new socket.
func (k KeepAlive) setUserTimeout(_, _ string, c syscall.RawConn) error {
	var setErr error
	err := c.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(k.UserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return setErr
}
