package soaker

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// process is a daemon started by the soak. The soak signals only processes that it started, by their process ids.
type process struct {
	name, program string
	programs      string
	folder        string
	settings      map[string]any

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

func (p *process) dataFolder() string { return filepath.Join(p.folder, p.name+"-data") }

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	file := filepath.Join(p.folder, p.name+".json")
	data, err := json.Marshal(p.settings)
	if err != nil {
		return fmt.Errorf("encode settings of %s: %w", p.name, err)
	}
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return fmt.Errorf("write settings of %s: %w", p.name, err)
	}
	log, err := os.OpenFile(filepath.Join(p.folder, p.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open log of %s: %w", p.name, err)
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(filepath.Join(p.programs, p.program), "--settings", file)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	exited := make(chan struct{})
	p.command, p.exited = command, exited
	go func() {
		// The log of a daemon shows why it exited.
		_ = command.Wait()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process if it is running.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return
	}
	select {
	case <-p.exited:
	default:
		// The process may have exited in the meantime.
		_ = p.command.Process.Signal(s)
	}
}

// waitExit waits until the process has exited and reports whether it did within the limit.
func (p *process) waitExit(limit time.Duration) bool {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(limit):
		return false
	}
}

func (p *process) alive() bool { return !p.waitExit(0) }

func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	p.waitExit(5 * time.Second)
}

var errStillRunning = errors.New("process did not exit after SIGTERM")

// stop shuts the process down gracefully.
func (p *process) stop(limit time.Duration) error {
	p.signal(syscall.SIGTERM)
	if !p.waitExit(limit) {
		return fmt.Errorf("%s: %w", p.name, errStillRunning)
	}
	return nil
}
