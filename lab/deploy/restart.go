package deploy

import (
	"context"
	"os"
	"os/exec"
	"syscall"
)

// Kill kills a process and waits until it has ended.
func (d *Deployment) Kill(ctx context.Context, p *Process) error {
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	return p.Wait(ctx)
}

// Restart restarts a process that has ended, with the same arguments and at the same
// address.
func (d *Deployment) Restart(p *Process) error {
	restarted, err := d.RunAt(p.Address, p.Name, p.Domain, p.program, p.args...)
	if err != nil {
		return err
	}
	// RunAt appended the new process to the list. p is there already and takes its
	// state, so that references to p stay valid.
	d.processes = d.processes[:len(d.processes)-1]
	*p = *restarted
	return nil
}

// reap waits until a process has ended, then closes its log and done.
func reap(cmd *exec.Cmd, log *os.File, done chan struct{}) {
	_ = cmd.Wait()
	log.Close()
	close(done)
}

// HasEnded reports whether a process has ended.
func (p *Process) HasEnded() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}
