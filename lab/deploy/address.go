package deploy

import (
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Ports of started processes. They are below the ephemeral ports, which the system
// assigns to outgoing connections and to listeners on port 0.
const (
	firstPort = 20_000
	portCount = 12_000
)

var portsTried atomic.Int64

// freeAddress returns an address on which nothing listens, and which the system assigns
// to no other process before the intended one listens on it.
func freeAddress() (string, error) {
	for range portCount {
		port := firstPort + portsTried.Add(1)%portCount
		address := fmt.Sprintf("%s:%d", loopbackIP(), port)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		return address, errors.WithStack(l.Close())
	}
	return "", errors.New("no free port on loopback; stop other deployments")
}

// loopbackIP returns a loopback address derived from the process ID, so that deployments
// of other processes use other addresses. Where the system can't listen on it, it
// returns 127.0.0.1.
var loopbackIP = sync.OnceValue(func() string {
	pid := os.Getpid()
	ip := net.IPv4(127, byte(64+pid>>16), byte(pid>>8), byte(pid)).String()
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "127.0.0.1"
	}
	l.Close()
	return ip
})
