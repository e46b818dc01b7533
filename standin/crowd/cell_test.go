package crowd

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// programsFolder is the folder of the programs built by "make build", which the Makefile runs first.
	programsFolder = "../../build"
	cellToken      = "token-of-the-crowd"
	operatorToken  = "operator-of-the-crowd"
	queueHost      = "crowd.example"
	readyTimeout   = 30 * time.Second
	// answerTimeout is how long an ordinary caller goes on sending its request again; the tests check no times.
	answerTimeout = 30 * time.Second
)

// process is a program under test. Only processes that the test started are signaled, by their process ids.
type process struct {
	command *exec.Cmd
	exited  chan struct{}
	logFile string
}

func startProcess(t *testing.T, folder, program string, settings map[string]any) *process {
	file := filepath.Join(folder, program+".json")
	data, err := json.Marshal(settings)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(file, data, 0o600))
	p := &process{exited: make(chan struct{}), logFile: filepath.Join(folder, program+".log")}
	log, err := os.Create(p.logFile)
	require.NoError(t, err)
	defer func() { _ = log.Close() }()
	p.command = exec.Command(filepath.Join(programsFolder, program), "--settings", file)
	p.command.Stdout, p.command.Stderr = log, log
	// A process must not outlive the test, even if the test is killed.
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	require.NoError(t, p.command.Start())
	go func() {
		_ = p.command.Wait()
		close(p.exited)
	}()
	t.Cleanup(func() {
		_ = p.command.Process.Kill()
		<-p.exited
		if t.Failed() {
			log, _ := os.ReadFile(p.logFile)
			t.Logf("end of the log of %s:\n%s", program, log[max(0, len(log)-2000):])
		}
	})
	return p
}

func (p *process) alive() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// highWaterMark matches the peak resident memory in /proc/PID/status, in KiB.
var highWaterMark = regexp.MustCompile(`VmHWM:\s+(\d+) kB`)

// peakMB returns the largest resident memory that the process has had, in MiB.
func (p *process) peakMB(t *testing.T) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	require.NoError(t, err, "the process has exited")
	match := highWaterMark.FindSubmatch(data)
	require.NotNil(t, match)
	kilobytes, err := strconv.Atoi(string(match[1]))
	require.NoError(t, err)
	return kilobytes >> 10
}

func (p *process) descriptors(t *testing.T) int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid))
	require.NoError(t, err, "the process has exited")
	return len(entries)
}

// cell is one process of each program, with limits that a small number of clients reaches.
type cell struct {
	processes map[string]*process
	// addresses maps the names of the listeners to their addresses.
	addresses map[string]string
}

// limits lowers the limits of all programs. The values are far below the defaults, so that few clients reach them.
var limits = map[string]map[string]any{
	"frontd": {
		"memory_limit_mb": 48, "body_budget_mb": 8, "frame_budget_mb": 8, "max_connections": 64, "max_side_connections": 32,
	},
	"controld": {
		"memory_limit_mb": 64, "body_budget_mb": 32, "frame_budget_mb": 24, "max_connections": 64, "max_side_connections": 32,
	},
	"entryd": {
		"memory_limit_mb": 48, "body_budget_mb": 16, "frame_budget_mb": 16, "max_connections": 64,
	},
}

// deployed holds the memory limits of the deploy templates. All other limits have their defaults.
var deployed = map[string]map[string]any{
	"frontd": {"memory_limit_mb": 64}, "controld": {"memory_limit_mb": 160}, "entryd": {},
}

func startCell(t *testing.T, limits map[string]map[string]any) *cell {
	folder := t.TempDir()
	subnet := pickSubnet(t)
	address := func(host, port int) string { return fmt.Sprintf("%s.%d:%d", subnet, host, port) }
	c := &cell{processes: map[string]*process{}, addresses: map[string]string{
		"control session": address(11, 7101), "control health": address(11, 7102), "control": address(11, 7103),
		"front session": address(31, 7101), "front": address(31, 7201), "front ready": address(31, 7202),
		"front metrics": address(31, 7203),
		"entry session": address(51, 7101), "entry": address(51, 7202),
	}}
	operators := []any{map[string]any{"name": "crowd", "token": operatorToken}}
	settings := map[string]map[string]any{
		"controld": {
			"name": "control", "failure_domain": "a", "address": c.addresses["control session"],
			"health_address": c.addresses["control health"], "data_folder": filepath.Join(folder, "data"),
			"seeds": []string{c.addresses["control session"]}, "first_start": true, "cell_token": cellToken, "voters": 1,
			"heartbeat_ms": 100, "election_min_ms": 300, "election_max_ms": 500,
			"queues": map[string]any{"address": c.addresses["control"]},
		},
		"frontd": {
			"name": "front", "address": c.addresses["front session"], "caller_address": c.addresses["front"],
			"ready_address": c.addresses["front ready"], "metrics_address": c.addresses["front metrics"],
			"seeds": []string{c.addresses["control session"]}, "cell_token": cellToken, "operators": operators,
		},
		"entryd": {
			"name": "entry", "failure_domain": "a", "address": c.addresses["entry session"],
			"http_address": c.addresses["entry"], "controls": []string{c.addresses["control session"]},
			"cell_token": cellToken, "operators": operators,
		},
	}
	for _, program := range []string{"controld", "frontd", "entryd"} {
		maps.Copy(settings[program], limits[program])
		c.processes[program] = startProcess(t, folder, program, settings[program])
	}
	c.answered(t, "front ready", http.MethodGet, "/", nil)
	c.answered(t, "entry", http.MethodGet, "/readyz", nil)
	c.configure(t, 1, 0)
	return c
}

func pickSubnet(t *testing.T) string {
	for range 100 {
		subnet := fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), rand.IntN(250))
		// The listener marks the network as taken until the test has ended.
		probe, err := net.Listen("tcp", subnet+".250:7000")
		if err == nil {
			t.Cleanup(func() { _ = probe.Close() })
			return subnet
		}
	}
	t.Fatal("no free loopback network found")
	return ""
}

// configure sends a configuration of one queue, followed by padding that the decoder ignores.
func (c *cell) configure(t *testing.T, version, padding int) {
	body, err := json.Marshal(map[string]any{
		"version": version, "services": []any{map[string]any{"name": "pool"}},
		"routes": []any{map[string]any{
			"name": "crowd", "host": queueHost, "path_prefix": "/jobs/", "service": "pool", "timeout_ms": 3000,
			"target_duration_ms": 60_000, "attempts": 3, "stretch": 2,
		}},
		"comment": string(bytes.Repeat([]byte{'x'}, padding)),
	})
	require.NoError(t, err)
	c.answered(t, "control", http.MethodPut, "/-/config", body)
}

// answered sends one request until it is answered with 200.
func (c *cell) answered(t *testing.T, listener, method, path string, body []byte) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	var last string
	for end := time.Now().Add(answerTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		request, err := http.NewRequest(method, "http://"+c.addresses[listener]+path, bytes.NewReader(body))
		require.NoError(t, err)
		if listener == "front" {
			request.Host = queueHost
		}
		request.Header.Set("Authorization", "Bearer "+operatorToken)
		response, err := client.Do(request)
		if err != nil {
			last = err.Error()
			continue
		}
		text, _ := io.ReadAll(io.LimitReader(response.Body, 200))
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
		last = fmt.Sprint(response.Status, " ", string(text))
	}
	require.Fail(t, "an ordinary request was not answered", "%s %s at %s: %s", method, path, listener, last)
}

// ordinaryJob is the body of an ordinary caller's request.
var ordinaryJob = []byte(`{"spec":"ordinary","steps":[{"count":1,"cpu":1000,"mem_mb":100,"est_runtime_ms":1000}]}`)

// ordinaryReport is the body of an ordinary worker's request.
var ordinaryReport = []byte(`{"service":"pool","address":"127.0.0.1:9","zone":"a","state":"ready",` +
	`"capacity":{"cpu":1000,"mem_mb":1000,"gpu":0},"labels":["kind","rack"],"born":1,"seq":1}`)

// ordinary sends the ordinary request of a listener.
func (c *cell) ordinary(t *testing.T, listener string) {
	switch listener {
	case "front", "front session":
		c.answered(t, "front", http.MethodPost, "/jobs/00000000000000a1", ordinaryJob)
	case "front ready":
		c.answered(t, listener, http.MethodGet, "/", nil)
	case "front metrics", "control health":
		c.answered(t, listener, http.MethodGet, "/metrics", nil)
	case "control":
		c.answered(t, listener, http.MethodPut, "/-/instances/ordinary", ordinaryReport)
	case "control session":
		c.answered(t, "front", http.MethodPost, "/jobs/00000000000000a2", ordinaryJob)
	case "entry", "entry session":
		c.answered(t, "entry", http.MethodGet, "/readyz", nil)
	default:
		require.Fail(t, "unknown listener", listener)
	}
}
