package connpool

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// KeepAlive bound how long a connection whose path is gone passes for alive.
type KeepAlive struct {
	// Idle is the time without data after which the kernel probes the other end,
	// and Interval the time between two probes. Both are rounded to seconds.
	Idle, Interval time.Duration
	// Count is how many probes may stay without an answer.
	Count int
	// UserTimeout is how long written bytes may stay without an answer.
	UserTimeout time.Duration
}

// NewDialer returns a dialer whose connections notice that their path is gone.
func NewDialer(p KeepAlive) *net.Dialer {
	return &net.Dialer{KeepAliveConfig: p.keepAlive(), Control: p.control}
}

// NewListenConfig returns the same for accepted connections.
func NewListenConfig(p KeepAlive) *net.ListenConfig {
	return &net.ListenConfig{KeepAliveConfig: p.keepAlive(), Control: p.control}
}

func (p KeepAlive) keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: p.Count > 0, Idle: p.Idle, Interval: p.Interval, Count: p.Count}
}

// control sets how long written bytes may stay without an answer.
func (p KeepAlive) control(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(p.UserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
