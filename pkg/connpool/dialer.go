package connpool

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Probes bound how long a connection whose path is gone passes for alive.
type Probes struct {
	// Idle is the time without data after which the kernel probes the other end,
	// and Interval the time between two probes. Both are rounded to seconds.
	Idle, Interval time.Duration
	// Count is how many probes may stay without an answer.
	Count int
	// Unacknowledged is how long written bytes may stay without an answer.
	Unacknowledged time.Duration
}

// NewDialer returns a dialer whose connections notice that their path is gone.
func NewDialer(p Probes) *net.Dialer {
	return &net.Dialer{KeepAliveConfig: p.keepAlive(), Control: p.control}
}

// NewListenConfig returns the same for accepted connections.
func NewListenConfig(p Probes) *net.ListenConfig {
	return &net.ListenConfig{KeepAliveConfig: p.keepAlive(), Control: p.control}
}

func (p Probes) keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: p.Count > 0, Idle: p.Idle, Interval: p.Interval, Count: p.Count}
}

// control sets how long written bytes may stay without an answer.
func (p Probes) control(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(p.Unacknowledged.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
