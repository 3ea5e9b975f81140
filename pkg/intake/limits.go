package intake

import (
	"math"
	"runtime/debug"
	"syscall"
)

// Limits are what a process may use.
type Limits struct {
	// MemoryBytes is the memory of the process. 0 takes the runtime's memory limit
	// (GOMEMLIMIT), or defaultMemoryBytes if there is none.
	MemoryBytes int64
	// Descriptors is the number of descriptors. 0 takes the system's limit.
	Descriptors int
}

const (
	defaultMemoryBytes = 1 << 30
	// heapShare is the share of the memory that the runtime may use. The rest is left for the
	// program itself and for the memory that the runtime has yet to return.
	heapShare = 0.75
	// budgetShare is the share of the memory for what clients send and don't read. Copies of
	// it that wait for the garbage collector come on top.
	budgetShare = 0.25
	// connectionsShare is the share of the memory for connections, and connectionBytes what
	// one takes: its goroutines, buffers and descriptor.
	connectionsShare = 0.25
	connectionBytes  = 32 << 10
	// fileDescriptors is the number of descriptors that are left for files.
	fileDescriptors = 200
)

// Complete returns the limits with the values of the process in place of zeros.
func (l Limits) Complete() Limits {
	if l.MemoryBytes <= 0 {
		l.MemoryBytes = defaultMemoryBytes
		if set := debug.SetMemoryLimit(-1); set < math.MaxInt64 {
			l.MemoryBytes = int64(float64(set) / heapShare)
		}
	}
	var system syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &system); err == nil {
		available := int(min(system.Cur, math.MaxInt32))
		if l.Descriptors <= 0 || l.Descriptors > available {
			l.Descriptors = available
		}
	}
	return l
}

// ApplyToRuntime limits the runtime's memory, unless GOMEMLIMIT is set lower.
func (l Limits) ApplyToRuntime() {
	limit := int64(heapShare * float64(l.MemoryBytes))
	if debug.SetMemoryLimit(-1) > limit {
		debug.SetMemoryLimit(limit)
	}
}

// budget returns the memory for what clients send and don't read, in bytes.
func (l Limits) budget() int64 { return int64(budgetShare * float64(l.MemoryBytes)) }

// connections returns the number of connections for a share of the descriptors.
func (l Limits) connections(share float64) int {
	sockets := max(l.Descriptors/2, l.Descriptors-fileDescriptors)
	byMemory := connectionsShare * float64(l.MemoryBytes) / connectionBytes
	return max(1, int(min(share*float64(sockets), byMemory)))
}
