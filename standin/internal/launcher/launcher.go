// Package launcher starts a whole cell as separate processes on loopback addresses, for the demo, the survey and the
// tests, and injects faults into its processes.
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
	controlPort       = 7101
	healthPort        = 7102
	entryPort         = 7201
	httpPort          = 7202
	relayOffset       = 1000
	readyPollInterval = 50 * time.Millisecond
	// readyEntryTimeout is how long ReadyEntry waits for a ready entry process, as a load balancer keeps a connection
	// waiting while none is ready.
	readyEntryTimeout = 2 * time.Second
)

// Token is the operator token of every launched cell.
const Token = "standin-operator-token"

// Config describes a cell.
type Config struct {
	// Programs is the folder of the built programs.
	Programs string
	// Folder receives the settings, data and logs of the daemons.
	Folder   string
	Controls int
	Entries  int
	// FailureDomains are assigned to the processes in turn.
	FailureDomains []string
	// Settings overrides settings of both daemons, by their keys in the settings files.
	Settings map[string]int
}

// Launcher manages the processes of one cell.
type Launcher struct {
	cfg    Config
	subnet string

	mu        sync.Mutex
	processes map[string]*process
	// partitioned has the IP addresses of processes that are cut off by a partition.
	partitioned map[string]bool
	relays      map[string]*relay.Relay
	nextEntry   int
}

type process struct {
	name, program string
	ip            string
	settingsFile  string
	command       *exec.Cmd
	exited        chan struct{}
	logFile       string
}

// New writes the settings of a cell and starts its relays. It does not start any process.
func New(cfg Config) (*Launcher, error) {
	l := &Launcher{
		cfg: cfg, processes: map[string]*process{}, partitioned: map[string]bool{}, relays: map[string]*relay.Relay{},
	}
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

// pickSubnet finds a loopback network that no other cell on this host uses.
func (l *Launcher) pickSubnet() error {
	for range 100 {
		l.subnet = fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), rand.IntN(250))
		probe, err := net.Listen("tcp", l.subnet+".250:7000")
		if err != nil {
			continue
		}
		// The listener stays open to mark the network as taken.
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

// WorkerIP returns the IP address of a stand-in worker.
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

// add writes the settings of a process and starts its relay. The keys in overridable take the values that
// Config.Settings gives for them.
func (l *Launcher) add(program, name, ip string, port int, values map[string]any, overridable []string) error {
	for _, key := range overridable {
		if value, ok := l.cfg.Settings[key]; ok {
			values[key] = value
		}
	}
	data, err := json.MarshalIndent(values, "", "  ")
	if err != nil {
		return fmt.Errorf("encode settings: %w", err)
	}
	p := &process{
		name: name, program: program, ip: ip, settingsFile: filepath.Join(l.cfg.Folder, name+".json"),
		logFile: filepath.Join(l.cfg.Folder, name+".log"),
	}
	if err := os.WriteFile(p.settingsFile, append([]byte("// Written by the stand-in launcher.\n"), data...),
		0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	r, err := relay.Start(fmt.Sprintf("%s:%d", ip, port+relayOffset), fmt.Sprintf("%s:%d", ip, port), l.isPartitioned)
	if err != nil {
		return err
	}
	l.relays[name] = r
	l.processes[name] = p
	return nil
}

// Bootstrap creates the data folder of the first control process.
func (l *Launcher) Bootstrap() error {
	command := exec.Command(filepath.Join(l.cfg.Programs, "controld"), "--bootstrap",
		"--settings", l.processes["control-1"].settingsFile)
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

// Names returns the names of the processes that begin with a prefix.
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
	p.command = exec.Command(filepath.Join(l.cfg.Programs, p.program), "--settings", p.settingsFile)
	p.command.Stdout, p.command.Stderr = logFile, logFile
	// A process must not outlive the launcher, even if the launcher is killed.
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

// signal sends a signal to a process, if it was ever started.
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

// Kill sends SIGKILL to a process and waits until it has exited.
func (l *Launcher) Kill(name string) error { return l.signalAndWait(name, syscall.SIGKILL) }

// Stop sends SIGTERM to a process, which shuts down gracefully, and waits until it has exited.
func (l *Launcher) Stop(name string) error { return l.signalAndWait(name, syscall.SIGTERM) }

func (l *Launcher) signalAndWait(name string, s syscall.Signal) error {
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
		return fmt.Errorf("%s did not exit", name)
	}
}

// Pause suspends a process with SIGSTOP.
func (l *Launcher) Pause(name string) error { return l.signal(name, syscall.SIGSTOP) }

// Resume continues a paused process.
func (l *Launcher) Resume(name string) error { return l.signal(name, syscall.SIGCONT) }

// WipeDisk removes the data folder of a control process, which must not be running.
func (l *Launcher) WipeDisk(name string) error {
	return os.RemoveAll(filepath.Join(l.cfg.Folder, name))
}

// DataFolder returns the data folder of a control process.
func (l *Launcher) DataFolder(name string) string { return filepath.Join(l.cfg.Folder, name) }

// SetPartitioned starts or ends a network partition between a process and all other processes of the cell. Connections
// stay open while their traffic is blocked.
func (l *Launcher) SetPartitioned(name string, on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.partitioned[l.processes[name].ip] = on
}

func (l *Launcher) isPartitioned(from, to string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.partitioned[from] || l.partitioned[to]
}

// EntryAddress returns the address on which an entry process serves callers.
func (l *Launcher) EntryAddress(i int) string { return fmt.Sprintf("%s:%d", l.entryIP(i), httpPort) }

// HealthAddress returns the address of the health endpoints of a control process.
func (l *Launcher) HealthAddress(i int) string {
	return fmt.Sprintf("%s:%d", l.controlIP(i), healthPort)
}

// ReadyEntry returns the address of the next entry process, in turn, that reports ready, as the platform's load
// balancer does. While none is ready it polls for readyEntryTimeout and then returns the address of one that is not
// ready.
func (l *Launcher) ReadyEntry() string {
	address := ""
	for end := time.Now().Add(readyEntryTimeout); ; time.Sleep(readyPollInterval) {
		for range l.cfg.Entries {
			l.mu.Lock()
			l.nextEntry = (l.nextEntry + 1) % l.cfg.Entries
			address = l.EntryAddress(l.nextEntry)
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

var healthClient = &http.Client{Timeout: 300 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}

// Ready reports whether the process at an address reports ready.
func Ready(address string) bool {
	response, err := healthClient.Get("http://" + address + "/readyz")
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
		if err := waitReady(l.HealthAddress(i), end); err != nil {
			return err
		}
	}
	for i := range l.cfg.Entries {
		if err := waitReady(l.EntryAddress(i), end); err != nil {
			return err
		}
	}
	return nil
}

func waitReady(address string, end time.Time) error {
	for !Ready(address) {
		if time.Now().After(end) {
			return fmt.Errorf("%s did not become ready in time", address)
		}
		time.Sleep(readyPollInterval)
	}
	return nil
}

// Health is the reply of the health endpoint of a control process.
type Health struct {
	Role  string `json:"role"`
	Voter bool   `json:"voter"`
}

// ControlHealth returns the health of a control process; ok is false when it does not answer.
func (l *Launcher) ControlHealth(name string) (health Health, ok bool) {
	for i, other := range l.Names("control-") {
		if other != name {
			continue
		}
		response, err := healthClient.Get("http://" + l.HealthAddress(i) + "/healthz")
		if err != nil {
			return health, false
		}
		defer func() { _ = response.Body.Close() }()
		err = json.NewDecoder(response.Body).Decode(&health)
		return health, err == nil
	}
	return health, false
}

// Leader returns the name of the control process that reports that it is the leader, or "" when none does.
func (l *Launcher) Leader() string {
	for _, name := range l.Names("control-") {
		if health, ok := l.ControlHealth(name); ok && health.Role == "leader" {
			return name
		}
	}
	return ""
}

// Log returns the log of a process.
func (l *Launcher) Log(name string) string {
	data, err := os.ReadFile(l.processes[name].logFile)
	if err != nil {
		return ""
	}
	return string(data)
}

// Close kills every process and closes all relays.
func (l *Launcher) Close() {
	for _, name := range append(l.Names("entry-"), l.Names("control-")...) {
		_ = l.Resume(name)
		_ = l.signal(name, syscall.SIGKILL)
	}
	for _, r := range l.relays {
		_ = r.Close()
	}
}
