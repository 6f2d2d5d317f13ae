// Package fleetproc runs a whole fleet as processes on loopback for the demonstration and for tests with real signals:
// the platform's stand-ins, backend servers, relays and nodes. It is no part of the product, which starts no processes.
package fleetproc

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// pollInterval is the time between two looks at a condition.
const pollInterval = 20 * time.Millisecond

// ExitError reports a process that ended with an error.
type ExitError struct {
	Name string
	// Code is the exit code, or -1 if a signal ended the process.
	Code int
	Err  error
	// Log is the path of the output of the process.
	Log string
}

func (e ExitError) Error() string {
	return fmt.Sprintf("process %s: %v; its output is in %s", e.Name, e.Err, e.Log)
}

// Process is one running program.
type Process struct {
	Name string
	// Log is the path of its output.
	Log  string
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// Build compiles the programs of the module at root into the directory.
func Build(ctx context.Context, root, directory string) error {
	cmd := exec.CommandContext(ctx, "go", "build", "-o", directory+string(filepath.Separator), "./cmd/...") //nolint:gosec // a directory of this test run
	cmd.Dir = root
	cmd.Stderr = os.Stderr
	return eris.Wrap(cmd.Run(), "build programs")
}

// Start starts a program and writes its output to a file in the directory.
func Start(directory, name, program string, args ...string) (*Process, error) {
	return StartWith(directory, name, nil, program, args...)
}

// StartWith starts a program with further variables in its environment.
func StartWith(directory, name string, variables []string, program string, args ...string) (*Process, error) {
	path := filepath.Join(directory, name+".log")
	out, err := os.Create(path) //nolint:gosec // a file of this test run
	if err != nil {
		return nil, eris.Wrap(err, "create process log")
	}
	cmd := exec.Command(program, args...) //nolint:gosec // a program that this package built
	cmd.Env = append(os.Environ(), variables...)
	cmd.Stdout = out
	cmd.Stderr = out
	if err := cmd.Start(); err != nil {
		return nil, eris.Wrap(err, "start "+name)
	}
	p := &Process{Name: name, Log: path, cmd: cmd, done: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		_ = out.Close()
		close(p.done)
	}()
	return p, nil
}

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Signal sends the signal to the process. It does nothing once the process has ended.
func (p *Process) Signal(s syscall.Signal) error {
	select {
	case <-p.done:
		return nil
	default:
		return eris.Wrap(p.cmd.Process.Signal(s), "signal "+p.Name)
	}
}

// Wait waits for the end of the process. It returns ExitError if it failed, and the error of the context.
func (p *Process) Wait(ctx context.Context) error {
	select {
	case <-p.done:
		if p.err != nil {
			return ExitError{Name: p.Name, Code: p.cmd.ProcessState.ExitCode(), Err: p.err, Log: p.Log}
		}
		return nil
	case <-ctx.Done():
		return eris.Wrap(context.Cause(ctx), "wait for "+p.Name)
	}
}

// Kill ends the process at once and waits for it. A stopped process ends too.
func (p *Process) Kill() {
	_ = p.Signal(syscall.SIGKILL)
	<-p.done
}

// FreeAddresses returns loopback addresses that nothing listens on. All are held until the last one is found, so that
// they differ.
func FreeAddresses(n int) ([]string, error) {
	var addresses []string
	for range n {
		l, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
		if err != nil {
			return nil, eris.Wrap(err, "find a free address")
		}
		defer func() { _ = l.Close() }()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}

// Await looks at the condition until it holds. It returns the error of the context if that ends before.
func Await(ctx context.Context, what string, condition func() bool) error {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for !condition() {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return eris.Wrap(context.Cause(ctx), "wait until "+what)
		}
	}
	return nil
}
