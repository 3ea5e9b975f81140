package deploy

import (
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Usage is what a process has used of the machine.
type Usage struct {
	// Processor is the processor time since the start.
	Processor time.Duration
	// MemoryBytes is the resident memory.
	MemoryBytes int64
}

// Fields of /proc/PID/stat, counted from the state, which follows the name.
const (
	statUserTicks   = 11
	statSystemTicks = 12
	statResident    = 21
)

// clockTick is the unit of processor time in /proc.
const clockTick = 10 * time.Millisecond

// Usage reads what the process has used.
func (p *Process) Usage() (Usage, error) { return UsageOf(p.cmd.Process.Pid) }

// UsageOf reads what a process has used by its ID.
func UsageOf(pid int) (Usage, error) {
	raw, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return Usage{}, errors.WithStack(err)
	}
	_, rest, _ := strings.Cut(string(raw), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= statResident {
		return Usage{}, errors.New("processor time can't be read; run on Linux")
	}
	var values [3]int64
	for i, field := range []int{statUserTicks, statSystemTicks, statResident} {
		if values[i], err = strconv.ParseInt(fields[field], 10, 64); err != nil {
			return Usage{}, errors.WithStack(err)
		}
	}
	return Usage{
		Processor:   time.Duration(values[0]+values[1]) * clockTick,
		MemoryBytes: values[2] * int64(os.Getpagesize()),
	}, nil
}

// Memory returns the resident memory of all running processes in bytes.
func (d *Deployment) Memory() int64 {
	total := int64(0)
	for _, p := range d.processes {
		if u, err := p.Usage(); err == nil {
			total += u.MemoryBytes
		}
	}
	return total
}

// Processes returns the number of processes that were started.
func (d *Deployment) Processes() int { return len(d.processes) }
