// Package fleetproc runs a fleet as processes on loopback, for the demonstration and for tests that send signals: platform
// stand-ins, backend servers, relays and nodes. The product does not use this package and starts no processes.
package fleetproc

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// pollInterval is the time between two evaluations of an awaited condition.
const pollInterval = 20 * time.Millisecond

// ExitError reports a process that ended with a nonzero exit code or by a signal.
type ExitError struct {
	Name string
	// ExitCode is the exit code, or -1 if a signal ended the process.
	ExitCode int
	Err      error
	// LogPath is the path of the file with the output of the process.
	LogPath string
}

func (e ExitError) Error() string {
	return fmt.Sprintf("process %s failed: %v (output in %s)", e.Name, e.Err, e.LogPath)
}

// Process is a program that this package started.
type Process struct {
	Name string
	// LogPath is the path of the file with its output.
	LogPath string
	cmd     *exec.Cmd
	done    chan struct{}
	err     error
}

// Build compiles all programs of the module at root into the directory.
func Build(ctx context.Context, root, directory string) error {
	cmd := exec.CommandContext(ctx, "go", "build", "-o", directory+string(filepath.Separator), "./cmd/...") //nolint:gosec // a directory of this test run
	cmd.Dir = root
	cmd.Stderr = os.Stderr
	return eris.Wrap(cmd.Run(), "build programs")
}

// Start starts a program and writes its output to the file name.log in the directory.
func Start(directory, name, program string, args ...string) (*Process, error) {
	return StartWithEnv(directory, name, nil, program, args...)
}

// StartWithEnv is like Start and adds the variables, each in the form key=value, to the environment of the program.
func StartWithEnv(directory, name string, variables []string, program string, args ...string) (*Process, error) {
	path := filepath.Join(directory, name+".log")
	out, err := os.Create(path) //nolint:gosec // a file of this test run
	if err != nil {
		return nil, eris.Wrap(err, "create process output file")
	}
	cmd := exec.Command(program, args...) //nolint:gosec // a program that this package built
	cmd.Env = append(os.Environ(), variables...)
	cmd.Stdout = out
	cmd.Stderr = out
	if err := cmd.Start(); err != nil {
		return nil, eris.Wrap(err, "start "+name)
	}
	p := &Process{Name: name, LogPath: path, cmd: cmd, done: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		_ = out.Close()
		close(p.done)
	}()
	return p, nil
}

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Ended reports whether the process has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// Signal sends the signal to the process. It does nothing if the process has ended.
func (p *Process) Signal(s syscall.Signal) error {
	if p.Ended() {
		return nil
	}
	return eris.Wrap(p.cmd.Process.Signal(s), "signal "+p.Name)
}

// Wait waits until the process ends. It returns an ExitError if the process failed, or an error if the context ends first.
func (p *Process) Wait(ctx context.Context) error {
	select {
	case <-p.done:
		if p.err != nil {
			return ExitError{Name: p.Name, ExitCode: p.cmd.ProcessState.ExitCode(), Err: p.err, LogPath: p.LogPath}
		}
		return nil
	case <-ctx.Done():
		return eris.Wrap(context.Cause(ctx), "wait for "+p.Name)
	}
}

// Kill sends SIGKILL to the process and waits until it has ended. It also ends a process paused by SIGSTOP.
func (p *Process) Kill() {
	_ = p.Signal(syscall.SIGKILL)
	<-p.done
}

// Ports of processes lie below the range that the kernel gives to outgoing connections (32768 and up). Each test process
// takes its own block of them.
const (
	minPort       = 15_000
	portBlocks    = 25
	portsPerBlock = 600
)

// nextPort counts the ports that this process has handed out or found in use.
var nextPort atomic.Uint32

// FreeAddresses returns n different loopback addresses that nothing listens on. An address is not returned again before all
// others of the block were, because a process that was started with it may not listen yet.
func FreeAddresses(n int) ([]string, error) {
	var addresses []string
	block := minPort + os.Getpid()%portBlocks*portsPerBlock
	var lastErr error
	for tried := 0; len(addresses) < n && tried < portsPerBlock; tried++ {
		address := fmt.Sprintf("127.0.0.1:%d", block+int(nextPort.Add(1)-1)%portsPerBlock)
		l, err := new(net.ListenConfig).Listen(context.Background(), "tcp", address)
		if err != nil {
			lastErr = err
			continue
		}
		_ = l.Close()
		addresses = append(addresses, address)
	}
	if len(addresses) < n {
		return nil, eris.Wrapf(lastErr, "find %d free loopback ports", n)
	}
	return addresses, nil
}

// Await evaluates the condition every pollInterval until it holds. It returns an error if the context ends first.
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
