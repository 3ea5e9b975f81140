package deploy

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"

	"github.com/pkg/errors"
)

// Restart kills a process without warning and starts it again with the same
// arguments at the same address.
func (d *Deployment) Restart(ctx context.Context, p *Process) error {
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	if err := p.Wait(ctx); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.logs, p.Name+".log"), os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.WithStack(err)
	}
	cmd := exec.Command(p.cmd.Path, p.cmd.Args[1:]...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return errors.WithStack(err)
	}
	p.cmd, p.done = cmd, make(chan struct{})
	go p.reap(log)
	return nil
}

// reap closes the log once the process has ended.
func (p *Process) reap(log *os.File) {
	done := p.done
	_ = p.cmd.Wait()
	log.Close()
	close(done)
}
