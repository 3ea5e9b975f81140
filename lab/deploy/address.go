package deploy

import (
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Ports of started processes. They lie below the ports that the system takes for
// outgoing connections and for listeners without a port of their own.
const (
	firstPort = 20_000
	portCount = 12_000
)

var portsTaken atomic.Int64

// freeAddress returns an address that no other process takes before the one
// that it is meant for listens on it.
func freeAddress() (string, error) {
	for range portCount {
		port := firstPort + portsTaken.Add(1)%portCount
		address := fmt.Sprintf("%s:%d", ownIP(), port)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		return address, errors.WithStack(l.Close())
	}
	return "", errors.New("no free address on loopback; end other deployments")
}

// ownIP returns a loopback IP number that this process shares with no other
// deployment, or the usual one where the system has only that.
var ownIP = sync.OnceValue(func() string {
	pid := os.Getpid()
	ip := net.IPv4(127, byte(64+pid>>16), byte(pid>>8), byte(pid)).String()
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "127.0.0.1"
	}
	l.Close()
	return ip
})
