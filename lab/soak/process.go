package soak

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/lab/link"
)

// process is one of the programs under test.
type process struct {
	name string
	args []string
	// env is added to the environment.
	env []string
	// file is the path of the settings file, log that of the log.
	file string
	log  string
	// store forwards the process's connections to the platform's store.
	store *link.Link
	// settings is the content of the settings file.
	settings map[string]any

	// restarting serializes restarts.
	restarting sync.Mutex

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	// faultyUntil is the time until which a fault may excuse the process's behaviour.
	faultyUntil time.Time
	// interruptedAt is when the process last ended, started, was frozen or was continued.
	interruptedAt time.Time
	// unexpectedExits counts the exits that the soak did not cause.
	unexpectedExits int
	// shouldRun is false from the signal that ends the process to its next start.
	shouldRun bool
}

// start writes the settings file and starts the process.
func (p *process) start() error {
	raw, err := json.Marshal(p.settings)
	if err != nil {
		return errors.WithStack(err)
	}
	if err := os.WriteFile(p.file, raw, 0o600); err != nil {
		return errors.WithStack(err)
	}
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.WithStack(err)
	}
	cmd := exec.Command(p.args[0], append(p.args[1:], "--settings", p.file)...)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.Env = append(os.Environ(), p.env...)
	if err := cmd.Start(); err != nil {
		out.Close()
		return errors.WithStack(err)
	}
	done := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.done, p.shouldRun, p.interruptedAt = cmd, done, true, time.Now()
	p.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		out.Close()
		p.mu.Lock()
		if p.shouldRun {
			p.unexpectedExits++
		}
		p.mu.Unlock()
		// The process may be started again from now on.
		close(done)
	}()
	return nil
}

// signal sends the process a signal.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.shouldRun = false
	}
	if s != syscall.SIGHUP {
		p.interruptedAt = time.Now()
	}
	// The process may have exited already.
	_ = p.cmd.Process.Signal(s)
}

// markFaulty records that a fault may excuse the process's behaviour until a time.
func (p *process) markFaulty(until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if until.After(p.faultyUntil) {
		p.faultyUntil = until
	}
}

// healthySince reports whether no fault has excused the process's behaviour since a time.
func (p *process) healthySince(at time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faultyUntil.Before(at)
}

// uninterruptedSince reports whether the process has run since a time without a restart or
// freeze.
func (p *process) uninterruptedSince(at time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.shouldRun && p.interruptedAt.Before(at)
}

// restart ends the process with a signal, or with SIGKILL after the grace period, and
// starts it again after a pause.
func (p *process) restart(s syscall.Signal, pause time.Duration) error {
	p.restarting.Lock()
	defer p.restarting.Unlock()
	p.signal(s)
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	select {
	case <-done:
	case <-time.After(gracePeriod):
		p.signal(syscall.SIGKILL)
		<-done
	}
	time.Sleep(pause)
	// Only a process that starts together with the whole system may bootstrap.
	p.settings["bootstrap"] = false
	return p.start()
}

// stop kills the process and closes its link to the store.
func (p *process) stop() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.done
	p.store.Close()
}

// hostIP returns the loopback address of a host. The subnet is 1 for entries, 2 for ranks
// and 3 for plain upstreams.
func hostIP(subnet, n int) string { return "127." + itoa(subnet) + ".0." + itoa(n+1) }

// processSettings returns the settings of a process.
func processSettings(d *deployment, name, ip, failureDomain string, storeAddress string) map[string]any {
	return map[string]any{
		"node": name, "ip": ip, "zone": failureDomain, "region": "r", "zones": map[string]string{"z0": "r", "z1": "r", "z2": "r"},
		"listen":         map[string]string{"front": ip + ":" + itoa(d.port+1), "ready-address": ip + ":" + itoa(d.port+2)},
		"internal-ports": []int{d.port, d.port + 9}, "bootstrap": true, "heartbeat-ms": heartbeatInterval.Milliseconds(),
		"limits": map[string]any{"memory-mb": 256, "max-fds": 2048},
		"bounds": map[string]any{
			"grace-s": gracePeriod.Seconds(), "revoke-ms": revocationLimit.Milliseconds(), "strict-revoke": true,
			"retry-ratio": retryRatio, "retry-slack": retrySlack, "retry-window-s": retryWindow.Seconds(),
			"evacuate-ms": evacuateLimit.Milliseconds(), "drain-ms": drainLimit.Milliseconds(), "contact-ms": contactTimeout.Milliseconds(),
			"cold-overage": 1.5, "cold-slack": 5, "fence-required": false,
		},
		"platform": map[string]any{"address": storeAddress},
	}
}

// logFile returns the path of a process's log.
func logFile(dir, name string) string { return filepath.Join(dir, name+".log") }
