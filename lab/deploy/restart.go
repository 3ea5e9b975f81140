package deploy

import (
	"context"
	"os"
	"os/exec"
	"syscall"
)

// Kill ends a process without warning.
func (d *Deployment) Kill(ctx context.Context, p *Process) error {
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	return p.Wait(ctx)
}

// Restart starts a process that has ended again, with the same arguments at the
// address that it had.
func (d *Deployment) Restart(p *Process) error {
	fresh, err := d.RunAt(p.Address, p.Name, p.Domain, p.program, p.args...)
	if err != nil {
		return err
	}
	d.processes = d.processes[:len(d.processes)-1]
	*p = *fresh
	return nil
}

// reap closes the log once the process has ended.
func reap(cmd *exec.Cmd, log *os.File, done chan struct{}) {
	_ = cmd.Wait()
	log.Close()
	close(done)
}
