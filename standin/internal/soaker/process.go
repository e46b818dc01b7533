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

// process is one daemon that the soak started. Only processes that it started are ever signalled, by their ids.
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
		// How a daemon ends is in its log.
		_ = command.Wait()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the present process, if there is one.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return
	}
	select {
	case <-p.exited:
	default:
		// The process may have ended meanwhile.
		_ = p.command.Process.Signal(s)
	}
}

// await waits for the end of the present process.
func (p *process) await(limit time.Duration) bool {
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

func (p *process) alive() bool { return !p.await(0) }

func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	p.await(5 * time.Second)
}

var errStillRunning = errors.New("a process did not end after SIGTERM")

// stop ends the process as planned.
func (p *process) stop(limit time.Duration) error {
	p.signal(syscall.SIGTERM)
	if !p.await(limit) {
		return fmt.Errorf("%s: %w", p.name, errStillRunning)
	}
	return nil
}
