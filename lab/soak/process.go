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
	env  []string
	file string
	log  string
	// store is its way to the platform's store.
	store *link.Link
	// settings is what its settings file holds.
	settings map[string]any

	// restarting lets one restart end before the next begins.
	restarting sync.Mutex

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	// harmed is until when a fault may excuse what the process does.
	harmed time.Time
	// ended counts ends that the soak did not cause.
	ended  int
	wanted bool
}

// start starts the process. It is started again a little after it has ended.
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
	p.cmd, p.done, p.wanted = cmd, done, true
	p.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		out.Close()
		close(done)
		p.mu.Lock()
		if p.wanted {
			p.ended++
		}
		p.mu.Unlock()
	}()
	return nil
}

// signal sends the process a signal.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.wanted = false
	}
	// The process may have ended.
	_ = p.cmd.Process.Signal(s)
}

// harm records that a fault may excuse what the process does until a time.
func (p *process) harm(until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if until.After(p.harmed) {
		p.harmed = until
	}
}

// soundAt reports whether no fault excuses the process since a time.
func (p *process) soundSince(at time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.harmed.Before(at)
}

// restart ends the process with a signal and starts it again after a pause.
func (p *process) restart(s syscall.Signal, pause time.Duration) error {
	p.restarting.Lock()
	defer p.restarting.Unlock()
	p.signal(s)
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	select {
	case <-done:
	case <-time.After(graceTook):
		p.signal(syscall.SIGKILL)
		<-done
	}
	time.Sleep(pause)
	p.settings["bootstrap"] = false
	return p.start()
}

// stop ends the process for good.
func (p *process) stop() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.done
	p.store.Close()
}

// address returns an address of a host on loopback.
func hostIP(kind, n int) string { return "127." + itoa(kind) + ".0." + itoa(n+1) }

func settingsOf(w *world, name, ip, zone string, storeAddress string) map[string]any {
	return map[string]any{
		"node": name, "ip": ip, "zone": zone, "region": "r", "zones": map[string]string{"z0": "r", "z1": "r", "z2": "r"},
		"listen":         map[string]string{"front": ip + ":" + itoa(w.port+1), "ready-address": ip + ":" + itoa(w.port+2)},
		"internal-ports": []int{w.port, w.port + 9}, "bootstrap": true, "heartbeat-ms": heartbeat.Milliseconds(),
		"limits": map[string]any{"memory-mb": 256, "max-fds": 2048},
		"bounds": map[string]any{
			"grace-s": graceTook.Seconds(), "revoke-ms": revokeAfter.Milliseconds(), "strict-revoke": true,
			"retry-ratio": retryRatio, "retry-slack": retrySlack, "retry-window-s": retryWindow.Seconds(),
			"cold-overage": 1.5, "cold-slack": 5, "fence-required": false,
		},
		"platform": map[string]any{"address": storeAddress},
	}
}

// logFile returns where a process writes its logs.
func logFile(dir, name string) string { return filepath.Join(dir, name+".log") }
