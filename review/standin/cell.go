package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Ports are the same on all machines of a cell. Each machine has a loopback address of its own.
const (
	firstPort, lastPort = 7720, 7735
	frontPort           = 8161
	readyPort           = 8167
	controlPort         = 8166
	runnerPort          = 8080
	advicePort          = 8169
	operatorToken       = "operator-of-one-deployment"
)

// process is one daemon of the system on a machine of its own.
type process struct {
	name, role, ip string
	settings       string
	cmd            *exec.Cmd
	exited         chan struct{}
}

// cell is a small deployment: five machines of the core and two of the edge.
type cell struct {
	root, folder, subnet string
	core, edge           []*process
	rec                  *record
}

func newCell(root string, rec *record) (*cell, error) {
	folder, err := os.MkdirTemp("", "review-cell-")
	if err != nil {
		return nil, err
	}
	c := &cell{root: root, folder: folder, rec: rec}
	for range 200 {
		c.subnet = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
		if c.portsAreFree() {
			break
		}
	}
	for i := range 5 {
		c.core = append(c.core, &process{name: fmt.Sprintf("core-%d", i+1), role: "control", ip: c.ip(11 + i)})
	}
	for i := range 2 {
		c.edge = append(c.edge, &process{name: fmt.Sprintf("edge-%d", i+1), role: "front", ip: c.ip(51 + i)})
	}
	return c, nil
}

func (c *cell) ip(host int) string { return fmt.Sprintf("%s.%d", c.subnet, host) }

func (c *cell) portsAreFree() bool {
	for _, port := range []int{firstPort, controlPort, frontPort, runnerPort} {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", c.ip(11), port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// fields returns what the platform tells a process, under the names of DEPLOY.md.
func (c *cell) fields(p *process, firstStart bool) map[string]any {
	var seeds []any
	for _, s := range c.core[:3] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", s.ip, controlPort))
	}
	dataDir := ""
	if p.role == "control" {
		dataDir = filepath.Join(c.folder, p.name)
	}
	return map[string]any{
		"node": p.name, "role": p.role, "ip": p.ip, "zone": "zone-a", "region": "region", "data_dir": dataDir,
		"port_range": []any{firstPort, lastPort}, "seeds": seeds, "bootstrap": firstStart,
		"listen": map[string]any{
			"front": fmt.Sprintf("%s:%d", p.ip, frontPort), "ready": fmt.Sprintf("%s:%d", p.ip, readyPort),
			"control": fmt.Sprintf("%s:%d", p.ip, controlPort),
		},
		"advice": fmt.Sprintf("%s:%d", c.ip(9), advicePort), "heartbeat_ms": heartbeatMs,
		"bounds":          map[string]any{"hold_max_ms": holdMaxMs, "settle_window_ms": settleWindowMs},
		"fault_tolerance": map[string]any{"machines": 2, "zones": 0, "regions": 0},
	}
}

var placeholder = regexp.MustCompile(`\{\{([a-z_0-9.]+)(\|json)?\}\}`)

// writeSettings fills in the template of the role, as the platform does at every start.
func (c *cell) writeSettings(p *process, firstStart bool) error {
	template := map[string]string{"control": "deploy/controld.json.tmpl", "front": "deploy/frontd.json.tmpl"}[p.role]
	text, err := os.ReadFile(filepath.Join(c.root, template))
	if err != nil {
		return err
	}
	fields := c.fields(p, firstStart)
	var missing error
	filled := placeholder.ReplaceAllStringFunc(string(text), func(match string) string {
		parts := placeholder.FindStringSubmatch(match)
		var value any = fields
		for _, key := range strings.Split(parts[1], ".") {
			switch v := value.(type) {
			case map[string]any:
				value = v[key]
			case []any:
				i, _ := strconv.Atoi(key)
				value = v[i]
			}
		}
		if value == nil {
			missing = fmt.Errorf("%s needs the unknown field %s", template, parts[1])
		}
		if parts[2] != "" {
			data, _ := json.Marshal(value)
			return string(data)
		}
		return fmt.Sprint(value)
	})
	p.settings = filepath.Join(c.folder, p.name+".json")
	if missing != nil {
		return missing
	}
	return os.WriteFile(p.settings, []byte(filled), 0o600)
}

// start runs a daemon with the command of the deploy file.
func (c *cell) start(p *process, firstStart bool) error {
	if err := c.writeSettings(p, firstStart); err != nil {
		return err
	}
	program := map[string]string{"control": "controld", "front": "frontd"}[p.role]
	out, err := os.OpenFile(filepath.Join(c.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p.cmd = exec.Command(filepath.Join("target", program), "--settings", p.settings)
	p.cmd.Dir, p.cmd.Stdout, p.cmd.Stderr = c.root, out, out
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG")}
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	p.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		_ = out.Close()
		close(exited)
	}(p.cmd, p.exited)
	c.rec.logf("platform", "starts %s", p.name)
	return nil
}

func (c *cell) startAll() error {
	for _, p := range append(append([]*process(nil), c.core...), c.edge...) {
		if err := c.start(p, true); err != nil {
			return err
		}
	}
	return nil
}

// kill ends a daemon with SIGKILL and waits for its end.
func (c *cell) kill(p *process) {
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.exited
	c.rec.logf("platform", "kills %s", p.name)
}

func (c *cell) signal(p *process, s syscall.Signal) {
	_ = p.cmd.Process.Signal(s)
	c.rec.logf("platform", "sends %v to %s", s, p.name)
}

// close ends all daemons and removes the folder.
func (c *cell) close() {
	for _, p := range append(append([]*process(nil), c.core...), c.edge...) {
		if p.cmd == nil || p.cmd.Process == nil {
			continue
		}
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
		<-p.exited
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("kept:", c.folder)
		return
	}
	_ = os.RemoveAll(c.folder)
}

// leader returns the daemon whose health page says that it leads; nil if there is none.
func (c *cell) leader() *process {
	client := http.Client{Timeout: 300 * time.Millisecond}
	for _, p := range c.core {
		response, err := client.Get(fmt.Sprintf("http://%s:%d/healthz", p.ip, lastPort))
		if err != nil {
			continue
		}
		var status struct {
			Role string `json:"role"`
		}
		err = json.NewDecoder(response.Body).Decode(&status)
		_ = response.Body.Close()
		if err == nil && status.Role == "leader" {
			return p
		}
	}
	return nil
}

// controls returns the control addresses of the core, as in the list that operators and runners have.
func (c *cell) controls() []string {
	var addresses []string
	for _, p := range c.core {
		addresses = append(addresses, fmt.Sprintf("%s:%d", p.ip, controlPort))
	}
	return addresses
}

func (c *cell) fronts() []string {
	var addresses []string
	for _, p := range c.edge {
		addresses = append(addresses, fmt.Sprintf("%s:%d", p.ip, frontPort))
	}
	return addresses
}
