package deploy

import (
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Usage is the resource usage of a process.
type Usage struct {
	// CPUTime is the CPU time since the process started.
	CPUTime time.Duration
	// MemoryBytes is the size of the resident memory.
	MemoryBytes int64
}

// Indexes of fields in /proc/PID/stat, counted from the state, which follows the name.
const (
	statUserTicks   = 11
	statSystemTicks = 12
	statResident    = 21
)

// clockTick is the unit of CPU time in /proc, which is 1/100 s on Linux (USER_HZ).
const clockTick = 10 * time.Millisecond

// Usage returns the resource usage of the process.
func (p *Process) Usage() (Usage, error) { return UsageOf(p.cmd.Process.Pid) }

// UsageOf returns the resource usage of the process with an ID.
func UsageOf(pid int) (Usage, error) {
	raw, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return Usage{}, errors.WithStack(err)
	}
	_, rest, _ := strings.Cut(string(raw), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= statResident {
		return Usage{}, errors.New("the CPU time can't be read from /proc/PID/stat; run on Linux")
	}
	var values [3]int64
	for i, field := range []int{statUserTicks, statSystemTicks, statResident} {
		if values[i], err = strconv.ParseInt(fields[field], 10, 64); err != nil {
			return Usage{}, errors.WithStack(err)
		}
	}
	return Usage{
		CPUTime:     time.Duration(values[0]+values[1]) * clockTick,
		MemoryBytes: values[2] * int64(os.Getpagesize()),
	}, nil
}

// MemoryBytes returns the size of the resident memory of all running processes.
func (d *Deployment) MemoryBytes() int64 {
	total := int64(0)
	for _, p := range d.processes {
		if u, err := p.Usage(); err == nil {
			total += u.MemoryBytes
		}
	}
	return total
}

// ProcessCount returns the number of processes of the deployment.
func (d *Deployment) ProcessCount() int { return len(d.processes) }
