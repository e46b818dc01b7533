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
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// restartDelay is how long after its end a process is started again.
	restartDelay = 300 * time.Millisecond
	// memoryCheck is how often the memory of the processes is compared with the limit of their machine.
	memoryCheck = 100 * time.Millisecond
	controlMB   = 280
	frontMB     = 284
)

// cell is a small deployment: the programs, each on a loopback address of its own, and the platform that restarts them.
type cell struct {
	root, folder string
	rec          *record

	mu       sync.Mutex
	procs    []*process
	runners  []*runner
	stopping bool
	gangMu   sync.Mutex
	gangs    map[string]*gang
	// limitMemory is set when the platform kills processes above the memory of their machine.
	limitMemory bool

	ports struct{ inner, control, front, ready int }
	net   [2]int
	seeds []string
}

// process is one of the project's programs on a machine of its own.
type process struct {
	cell     *cell
	name     string
	role     string
	ip       string
	settings string
	memoryMB int

	mu   sync.Mutex
	cmd  *exec.Cmd
	ends int
	// overMemory counts the ends for memory above the machine's, and peakMB is the most that was seen.
	overMemory int
	peakMB     int
	down       bool
}

// ip returns the address of machine n.
func (c *cell) ip(n int) string { return fmt.Sprintf("127.%d.%d.%d", c.net[0], c.net[1], n) }

func free(address string) bool {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	_ = l.Close()
	return true
}

// choosePorts chooses a network of loopback addresses and ports that are free on all of them.
func (c *cell) choosePorts(machines int) error {
	for range 50 {
		c.net = [2]int{20 + rand.IntN(200), 1 + rand.IntN(250)}
		base := 21000 + rand.IntN(9000)
		c.ports.inner, c.ports.control, c.ports.front, c.ports.ready = base, base+20, base+21, base+22
		ok := true
		for n := 1; n <= machines && ok; n++ {
			for _, port := range []int{base, base + 1, base + 20, base + 21, base + 22} {
				ok = ok && free(fmt.Sprintf("%s:%d", c.ip(n), port))
			}
		}
		if ok {
			return nil
		}
	}
	return fmt.Errorf("no free ports")
}

// start starts controls and fronts; all settings come from the templates of the deploy file.
func (c *cell) start(controls, fronts int) error {
	if err := c.choosePorts(controls + fronts + 40); err != nil {
		return err
	}
	for n := 1; n <= min(3, controls); n++ {
		c.seeds = append(c.seeds, fmt.Sprintf("%s:%d", c.ip(n), c.ports.control))
	}
	for n := 1; n <= controls+fronts; n++ {
		p := &process{cell: c, ip: c.ip(n), role: "control", memoryMB: controlMB}
		template, program := "controld.json.tmpl", "controld"
		if n > controls {
			p.role, p.memoryMB = "front", frontMB
			template, program = "frontd.json.tmpl", "frontd"
		}
		p.name = fmt.Sprintf("%s-%d", p.role, n)
		p.settings = filepath.Join(c.folder, p.name+".json")
		text, err := os.ReadFile(filepath.Join(c.root, "deploy", template))
		if err != nil {
			return err
		}
		filled, err := render(string(text), c.fields(p, n <= controls))
		if err != nil {
			return err
		}
		if err := os.WriteFile(p.settings, []byte(filled), 0o600); err != nil {
			return err
		}
		if err := p.launch(filepath.Join(c.root, "target", program)); err != nil {
			return err
		}
		c.mu.Lock()
		c.procs = append(c.procs, p)
		c.mu.Unlock()
	}
	go c.watchMemory()
	return nil
}

// fields returns what the platform tells a process.
func (c *cell) fields(p *process, control bool) map[string]any {
	listen := map[string]any{}
	if control {
		listen["control"] = fmt.Sprintf("%s:%d", p.ip, c.ports.control)
	} else {
		listen["front"] = fmt.Sprintf("%s:%d", p.ip, c.ports.front)
		listen["ready"] = fmt.Sprintf("%s:%d", p.ip, c.ports.ready)
	}
	return map[string]any{
		"node": p.name, "zone": "zone-a", "ip": p.ip, "port_range": []any{c.ports.inner, c.ports.inner + 15},
		"seeds": toAny(c.seeds), "bootstrap": true, "heartbeat_ms": 1500, "advice": c.ip(250) + ":8169",
		"data_dir": filepath.Join(c.folder, "data-"+p.name), "listen": listen,
		"bounds":          map[string]any{"hold_max_ms": 10000, "settle_window_ms": 3000},
		"fault_tolerance": map[string]any{"machines": 2},
	}
}

func toAny(list []string) []any {
	var out []any
	for _, v := range list {
		out = append(out, v)
	}
	return out
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#([a-z_.0-9]+)\}\}.*?\{\{/[a-z_.0-9]+\}\}`)
	placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`)
)

// render fills in a template as the platform does. Sections are kept out: none of their fields is set here.
func render(text string, fields map[string]any) (string, error) {
	var problem error
	text = section.ReplaceAllStringFunc(text, func(s string) string {
		if lookUp(fields, section.FindStringSubmatch(s)[1]) != nil {
			problem = fmt.Errorf("section %s", s)
		}
		return ""
	})
	text = placeholder.ReplaceAllStringFunc(text, func(s string) string {
		parts := placeholder.FindStringSubmatch(s)
		value := lookUp(fields, parts[1])
		if parts[2] == "" {
			return fmt.Sprint(value)
		}
		data, err := json.Marshal(value)
		if err != nil {
			problem = err
		}
		return string(data)
	})
	return text, problem
}

func lookUp(fields map[string]any, path string) any {
	var value any = fields
	for _, key := range strings.Split(path, ".") {
		switch v := value.(type) {
		case map[string]any:
			value = v[key]
		case []any:
			n, err := strconv.Atoi(key)
			if err != nil || n >= len(v) {
				return nil
			}
			value = v[n]
		default:
			return nil
		}
	}
	return value
}

// launch starts the program, and starts it again whenever it ends by itself.
func (p *process) launch(program string) error {
	cmd := exec.Command(program, "--settings", p.settings)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + p.cell.folder}
	log, err := os.OpenFile(filepath.Join(p.cell.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Dir = p.cell.root
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	_ = log.Close()
	p.mu.Lock()
	p.cmd = cmd
	p.mu.Unlock()
	go func() {
		state, _ := cmd.Process.Wait()
		p.cell.mu.Lock()
		stopping := p.cell.stopping
		p.cell.mu.Unlock()
		p.mu.Lock()
		p.cmd = nil
		down := p.down
		if !stopping && !down {
			p.ends++
		}
		p.mu.Unlock()
		if stopping || down {
			return
		}
		p.cell.rec.line("%s ended: %v", p.name, state)
		time.Sleep(restartDelay)
		p.cell.mu.Lock()
		stopping = p.cell.stopping
		p.cell.mu.Unlock()
		if !stopping {
			_ = p.launch(program)
		}
	}()
	return nil
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// residentMB returns the resident memory of the process; 0 while it does not run.
func (p *process) residentMB() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return pages * os.Getpagesize() >> 20
}

// watchMemory kills each process that uses more than the memory of its machine, as the platform does.
func (c *cell) watchMemory() {
	for {
		time.Sleep(memoryCheck)
		c.mu.Lock()
		procs, stopping := c.procs, c.stopping
		c.mu.Unlock()
		if stopping {
			return
		}
		for _, p := range procs {
			mb := p.residentMB()
			p.mu.Lock()
			p.peakMB = max(p.peakMB, mb)
			over := c.limitMemory && mb > p.memoryMB
			if over {
				p.overMemory++
			}
			p.mu.Unlock()
			if over {
				c.rec.line("%s uses %d MB of %d MB and is killed", p.name, mb, p.memoryMB)
				p.signal(syscall.SIGKILL)
			}
		}
	}
}

// stop ends all processes.
func (c *cell) stop() {
	c.mu.Lock()
	c.stopping = true
	procs, runners := c.procs, c.runners
	c.mu.Unlock()
	for _, p := range procs {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
	}
	for _, r := range runners {
		r.stop()
	}
	time.Sleep(200 * time.Millisecond)
}

func (c *cell) controls() []string {
	var list []string
	for _, p := range c.procs {
		if p.role == "control" {
			list = append(list, fmt.Sprintf("%s:%d", p.ip, c.ports.control))
		}
	}
	return list
}

func (c *cell) fronts() []string {
	var list []string
	for _, p := range c.procs {
		if p.role == "front" {
			list = append(list, fmt.Sprintf("%s:%d", p.ip, c.ports.front))
		}
	}
	return list
}
