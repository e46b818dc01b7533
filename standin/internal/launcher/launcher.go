// Package launcher starts a whole cell as separate processes on loopback addresses, for the demo and the tests, and
// makes its processes fail.
package launcher

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"flamingodrift.example/standin/internal/relay"
)

const (
	controlPort = 7101
	healthPort  = 7102
	entryPort   = 7201
	httpPort    = 7202
	relayOffset = 1000
	readyPoll   = 50 * time.Millisecond
	// balanceLimit is how long a balancer holds a connection while no entry process is ready.
	balanceLimit = 2 * time.Second
)

// Token is the operators' token of every launched cell.
const Token = "standin-operator-token"

// Config describes a cell.
type Config struct {
	// Programs is the folder that holds the built programs.
	Programs string
	// Folder takes settings, data and logs.
	Folder   string
	Controls int
	Entries  int
	// FailureDomains are given out in turn.
	FailureDomains []string
	// Settings overrides settings of both daemons by their names in the settings files.
	Settings map[string]int
}

// Launcher holds the processes of one cell.
type Launcher struct {
	cfg    Config
	subnet string

	mu        sync.Mutex
	processes map[string]*process
	cuts      map[string]bool
	relays    map[string]*relay.Relay
	nextEntry int
}

type process struct {
	name, program string
	ip            string
	settings      string
	command       *exec.Cmd
	exited        chan struct{}
	logFile       string
}

// New writes the settings of a cell. Nothing runs yet.
func New(cfg Config) (*Launcher, error) {
	l := &Launcher{cfg: cfg, processes: map[string]*process{}, cuts: map[string]bool{}, relays: map[string]*relay.Relay{}}
	if err := l.pickSubnet(); err != nil {
		return nil, err
	}
	for i := range cfg.Controls {
		if err := l.addControl(i); err != nil {
			return nil, err
		}
	}
	for i := range cfg.Entries {
		if err := l.addEntry(i); err != nil {
			return nil, err
		}
	}
	return l, nil
}

// pickSubnet finds a loopback network that no other cell on this machine uses.
func (l *Launcher) pickSubnet() error {
	for range 100 {
		l.subnet = fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), rand.IntN(250))
		probe, err := net.Listen("tcp", l.subnet+".250:7000")
		if err != nil {
			continue
		}
		// The probe stays open as a mark that the network is taken.
		go func() {
			conn, err := probe.Accept()
			if err == nil {
				_ = conn.Close()
			}
		}()
		return nil
	}
	return errors.New("no free loopback network found")
}

func (l *Launcher) controlIP(i int) string { return fmt.Sprintf("%s.%d", l.subnet, 11+i) }

func (l *Launcher) entryIP(i int) string { return fmt.Sprintf("%s.%d", l.subnet, 51+i) }

// WorkerIP returns the address of a stand-in worker.
func (l *Launcher) WorkerIP(i int) string { return fmt.Sprintf("%s.%d", l.subnet, 101+i%100) }

func (l *Launcher) controlAddresses() []string {
	var addresses []string
	for i := range l.cfg.Controls {
		addresses = append(addresses, fmt.Sprintf("%s:%d", l.controlIP(i), controlPort+relayOffset))
	}
	return addresses
}

func (l *Launcher) failureDomain(i int) string {
	return l.cfg.FailureDomains[i%len(l.cfg.FailureDomains)]
}

func (l *Launcher) addControl(i int) error {
	name, ip := fmt.Sprintf("control-%d", i+1), l.controlIP(i)
	return l.add("controld", name, ip, controlPort, map[string]any{
		"name": name, "failure_domain": l.failureDomain(i), "address": fmt.Sprintf("%s:%d", ip, controlPort),
		"advertise_address": fmt.Sprintf("%s:%d", ip, controlPort+relayOffset),
		"health_address":    fmt.Sprintf("%s:%d", ip, healthPort), "data_folder": filepath.Join(l.cfg.Folder, name),
		"peers": l.controlAddresses(), "voters": l.cfg.Controls, "cell_token": "standin-cell-token",
	}, []string{
		"heartbeat_ms", "election_min_ms", "election_max_ms", "worker_lease_ms", "poll_timeout_ms", "entry_lease_ms",
		"target_silent_ms",
	})
}

func (l *Launcher) addEntry(i int) error {
	name, ip := fmt.Sprintf("entry-%d", i+1), l.entryIP(i)
	return l.add("entryd", name, ip, entryPort, map[string]any{
		"name": name, "failure_domain": l.failureDomain(i), "address": fmt.Sprintf("%s:%d", ip, entryPort),
		"advertise_address": fmt.Sprintf("%s:%d", ip, entryPort+relayOffset),
		"http_address":      fmt.Sprintf("%s:%d", ip, httpPort), "controls": l.controlAddresses(),
		"cell_token": "standin-cell-token", "operators": []map[string]string{{"name": "standin", "token": Token}},
	}, []string{"beat_ms", "currency_ms", "poll_batch_ms", "drain_ms", "stop_ms"})
}

func (l *Launcher) add(program, name, ip string, port int, values map[string]any, timing []string) error {
	for _, key := range timing {
		if value, ok := l.cfg.Settings[key]; ok {
			values[key] = value
		}
	}
	data, err := json.MarshalIndent(values, "", "  ")
	if err != nil {
		return fmt.Errorf("encode settings: %w", err)
	}
	p := &process{
		name: name, program: program, ip: ip, settings: filepath.Join(l.cfg.Folder, name+".json"),
		logFile: filepath.Join(l.cfg.Folder, name+".log"),
	}
	if err := os.WriteFile(p.settings, append([]byte("// Written by the stand-in launcher.\n"), data...), 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	r, err := relay.Start(fmt.Sprintf("%s:%d", ip, port+relayOffset), fmt.Sprintf("%s:%d", ip, port), l.isCut)
	if err != nil {
		return err
	}
	l.relays[name] = r
	l.processes[name] = p
	return nil
}

// Bootstrap makes the data folder of the first control process.
func (l *Launcher) Bootstrap() error {
	command := exec.Command(filepath.Join(l.cfg.Programs, "controld"), "--bootstrap", "--settings", l.processes["control-1"].settings)
	if out, err := command.CombinedOutput(); err != nil {
		return fmt.Errorf("bootstrap: %w: %s", err, out)
	}
	return nil
}

// StartAll starts every process.
func (l *Launcher) StartAll() error {
	for _, name := range l.Names("") {
		if err := l.Start(name); err != nil {
			return err
		}
	}
	return nil
}

// Names lists the processes whose names begin with a prefix.
func (l *Launcher) Names(prefix string) []string {
	var names []string
	for i := range l.cfg.Controls {
		names = append(names, fmt.Sprintf("control-%d", i+1))
	}
	for i := range l.cfg.Entries {
		names = append(names, fmt.Sprintf("entry-%d", i+1))
	}
	var matching []string
	for _, name := range names {
		if strings.HasPrefix(name, prefix) {
			matching = append(matching, name)
		}
	}
	return matching
}

// Start starts one process.
func (l *Launcher) Start(name string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.processes[name]
	logFile, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	defer func() { _ = logFile.Close() }()
	p.command = exec.Command(filepath.Join(l.cfg.Programs, p.program), "--settings", p.settings)
	p.command.Stdout, p.command.Stderr = logFile, logFile
	// A process must not outlive the launcher, also when that is killed.
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return fmt.Errorf("start %s: %w", name, err)
	}
	p.exited = make(chan struct{})
	go func(command *exec.Cmd, exited chan struct{}) {
		_ = command.Wait()
		close(exited)
	}(p.command, p.exited)
	return nil
}

func (l *Launcher) signal(name string, s syscall.Signal) error {
	l.mu.Lock()
	p := l.processes[name]
	l.mu.Unlock()
	if p.command == nil {
		return nil
	}
	if err := p.command.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("signal %s: %w", name, err)
	}
	return nil
}

// Kill ends a process without warning and waits until it is gone.
func (l *Launcher) Kill(name string) error { return l.end(name, syscall.SIGKILL) }

// Stop asks a process to shut down gracefully and waits until it has.
func (l *Launcher) Stop(name string) error { return l.end(name, syscall.SIGTERM) }

func (l *Launcher) end(name string, s syscall.Signal) error {
	if err := l.signal(name, s); err != nil {
		return err
	}
	l.mu.Lock()
	exited := l.processes[name].exited
	l.mu.Unlock()
	if exited == nil {
		return nil
	}
	select {
	case <-exited:
		return nil
	case <-time.After(30 * time.Second):
		return fmt.Errorf("%s did not end", name)
	}
}

// Pause freezes a process.
func (l *Launcher) Pause(name string) error { return l.signal(name, syscall.SIGSTOP) }

// Resume lets a frozen process go on.
func (l *Launcher) Resume(name string) error { return l.signal(name, syscall.SIGCONT) }

// WipeDisk removes the data folder of a process that does not run.
func (l *Launcher) WipeDisk(name string) error {
	return os.RemoveAll(filepath.Join(l.cfg.Folder, name))
}

// DataFolder returns the data folder of a control process.
func (l *Launcher) DataFolder(name string) string { return filepath.Join(l.cfg.Folder, name) }

// SetPartitioned cuts a process off from all other processes of the cell without closing its connections, or ends that.
func (l *Launcher) SetPartitioned(name string, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cuts[l.processes[name].ip] = cut
}

func (l *Launcher) isCut(from, to string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cuts[from] || l.cuts[to]
}

// EntryHTTP returns the address that an entry process serves callers on.
func (l *Launcher) EntryHTTP(i int) string { return fmt.Sprintf("%s:%d", l.entryIP(i), httpPort) }

// ControlHealth returns the address of a control process's health answers.
func (l *Launcher) ControlHealth(i int) string {
	return fmt.Sprintf("%s:%d", l.controlIP(i), healthPort)
}

// ReadyEntry returns the address of the next entry process that reports ready, as the platform's balancer does. While
// none is ready it keeps looking for balanceLimit.
func (l *Launcher) ReadyEntry() string {
	address := ""
	for end := time.Now().Add(balanceLimit); ; time.Sleep(readyPoll) {
		for range l.cfg.Entries {
			l.mu.Lock()
			l.nextEntry = (l.nextEntry + 1) % l.cfg.Entries
			address = l.EntryHTTP(l.nextEntry)
			l.mu.Unlock()
			if Ready(address) {
				return address
			}
		}
		if time.Now().After(end) {
			return address
		}
	}
}

var probe = &http.Client{Timeout: 300 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}

// Ready reports whether a process answers that it is ready.
func Ready(address string) bool {
	response, err := probe.Get("http://" + address + "/readyz")
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// WaitReady waits until every process reports ready.
func (l *Launcher) WaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for i := range l.cfg.Controls {
		if err := waitReady(l.ControlHealth(i), end); err != nil {
			return err
		}
	}
	for i := range l.cfg.Entries {
		if err := waitReady(l.EntryHTTP(i), end); err != nil {
			return err
		}
	}
	return nil
}

func waitReady(address string, end time.Time) error {
	for !Ready(address) {
		if time.Now().After(end) {
			return fmt.Errorf("%s is not ready in time", address)
		}
		time.Sleep(readyPoll)
	}
	return nil
}

// Health is what a control process says of itself.
type Health struct {
	Role  string `json:"role"`
	Voter bool   `json:"voter"`
}

// ControlStatus asks a control process for its health; ok is false when it does not answer.
func (l *Launcher) ControlStatus(name string) (health Health, ok bool) {
	for i, other := range l.Names("control-") {
		if other != name {
			continue
		}
		response, err := probe.Get("http://" + l.ControlHealth(i) + "/healthz")
		if err != nil {
			return health, false
		}
		defer func() { _ = response.Body.Close() }()
		err = json.NewDecoder(response.Body).Decode(&health)
		return health, err == nil
	}
	return health, false
}

// Leader returns the name of the control process that says that it leads; empty when none does.
func (l *Launcher) Leader() string {
	for _, name := range l.Names("control-") {
		if health, ok := l.ControlStatus(name); ok && health.Role == "leader" {
			return name
		}
	}
	return ""
}

// Log returns what a process has logged.
func (l *Launcher) Log(name string) string {
	data, err := os.ReadFile(l.processes[name].logFile)
	if err != nil {
		return ""
	}
	return string(data)
}

// Close stops every process, gracefully where it can, and all relays.
func (l *Launcher) Close() {
	for _, name := range append(l.Names("entry-"), l.Names("control-")...) {
		_ = l.Resume(name)
		_ = l.signal(name, syscall.SIGKILL)
	}
	for _, r := range l.relays {
		_ = r.Close()
	}
}
