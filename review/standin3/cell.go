package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"syscall"
)

// Ports of the processes. Each process has a loopback address of its own, so all have the same ports.
const (
	ownPort     = 7101
	sidePort    = 7102
	controlPort = 7103
	frontPort   = 7104
	readyPort   = 7105
	runnerPort  = 8367
	advicePort  = 8169
)

// Values of the deployment, as the pages give them for Kapana Chairshare.
const (
	holdMaxMs      = 10_000
	settleWindowMs = 3_000
	heartbeatMs    = 1_500
	stopTimeoutMs  = 900
	gangTimeoutMs  = 3_000
	finishMs       = 14_000
	lostDisks      = 2
)

// process is one program of the project, started with the command of the deploy file.
type process struct {
	name, program, settings string
	cmd                     *exec.Cmd
}

// cell holds the project's programs on one loopback network.
type cell struct {
	rec       *recorder
	folder    string
	subnet    string
	processes map[string]*process
	controls  []string // names
	fronts    []string
	probe     net.Listener
}

func newCell(rec *recorder, folder string, controls, fronts int) (*cell, error) {
	c := &cell{rec: rec, folder: folder, processes: map[string]*process{}}
	for range 200 {
		subnet := fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), rand.IntN(250))
		probe, err := net.Listen("tcp", subnet+".250:7000")
		if err == nil {
			c.subnet, c.probe = subnet, probe
			break
		}
	}
	if c.subnet == "" {
		return nil, fmt.Errorf("no free loopback network")
	}
	for i := range controls {
		c.controls = append(c.controls, fmt.Sprintf("core-%d", i+1))
	}
	for i := range fronts {
		c.fronts = append(c.fronts, fmt.Sprintf("edge-%d", i+1))
	}
	for i, name := range c.controls {
		if err := c.add(name, "controld", c.controlIP(i), i); err != nil {
			return nil, err
		}
	}
	for i, name := range c.fronts {
		if err := c.add(name, "frontd", c.frontIP(i), i); err != nil {
			return nil, err
		}
	}
	return c, nil
}

func (c *cell) controlIP(i int) string { return fmt.Sprintf("%s.%d", c.subnet, 11+i) }
func (c *cell) frontIP(i int) string   { return fmt.Sprintf("%s.%d", c.subnet, 51+i) }
func (c *cell) runnerIP(i int) string  { return fmt.Sprintf("%s.%d", c.subnet, 101+i) }

func (c *cell) controlAddress(i int) string {
	return fmt.Sprintf("%s:%d", c.controlIP(i%len(c.controls)), controlPort)
}

func (c *cell) frontAddress(i int) string {
	return fmt.Sprintf("%s:%d", c.frontIP(i%len(c.fronts)), frontPort)
}

func (c *cell) add(name, program, ip string, i int) error {
	var seeds []string
	for s := range min(3, len(c.controls)) {
		seeds = append(seeds, c.controlAddress(s))
	}
	zones := []string{"khomas-a", "khomas-b", "khomas-c"}
	values := map[string]any{
		"node": name, "zone": zones[i%len(zones)], "ip": ip, "port_range.0": ownPort, "port_range.1": sidePort,
		"data_dir": filepath.Join(c.folder, name), "seeds": seeds, "bootstrap": true,
		"advice":         fmt.Sprintf("%s.240:%d", c.subnet, advicePort),
		"listen.control": fmt.Sprintf("%s:%d", ip, controlPort), "listen.front": fmt.Sprintf("%s:%d", ip, frontPort),
		"listen.ready":       fmt.Sprintf("%s:%d", ip, readyPort),
		"bounds.hold_max_ms": holdMaxMs, "bounds.settle_window_ms": settleWindowMs, "heartbeat_ms": heartbeatMs,
		"fault_tolerance.machines": lostDisks,
	}
	template, err := os.ReadFile(filepath.Join("deploy", program+".json.tmpl"))
	if err != nil {
		return err
	}
	settings := filepath.Join(c.folder, name+".json")
	if err := os.WriteFile(settings, []byte(fill(string(template), values)), 0o600); err != nil {
		return err
	}
	c.processes[name] = &process{name: name, program: filepath.Join("target", program), settings: settings}
	return nil
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#([^}]+)\}\}.*?\{\{/[^}]+\}\}`)
	placeholder = regexp.MustCompile(`\{\{([^}|]+)(\|json)?\}\}`)
)

// fill replaces the placeholders of a template of the deploy file. No section of the project's templates applies here.
func fill(template string, values map[string]any) string {
	template = section.ReplaceAllString(template, "")
	return placeholder.ReplaceAllStringFunc(template, func(text string) string {
		parts := placeholder.FindStringSubmatch(text)
		value := values[parts[1]]
		if parts[2] == "" {
			return fmt.Sprint(value)
		}
		data, _ := json.Marshal(value)
		return string(data)
	})
}

func (c *cell) start(name string) error {
	p := c.processes[name]
	log, err := os.OpenFile(filepath.Join(c.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	p.cmd = exec.Command(p.program, "--settings", p.settings)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	c.rec.log("platform", "starts %s (%s)", name, p.program)
	return nil
}

func (c *cell) startAll() error {
	for _, name := range append(append([]string(nil), c.controls...), c.fronts...) {
		if err := c.start(name); err != nil {
			return err
		}
	}
	return nil
}

// kill ends a process and waits until it has ended.
func (c *cell) kill(name string) {
	p := c.processes[name]
	if p.cmd == nil || p.cmd.Process == nil {
		return
	}
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
	p.cmd = nil
}

func (c *cell) stopAll() {
	for name := range c.processes {
		c.kill(name)
	}
	if c.probe != nil {
		_ = c.probe.Close()
	}
}
