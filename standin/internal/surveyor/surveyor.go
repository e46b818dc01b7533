// Package surveyor measures what the daemons of a whole cell use as the number of workers grows.
package surveyor

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"flamingodrift.example/standin/internal/launcher"
	"flamingodrift.example/standin/internal/oracle"
	"flamingodrift.example/standin/internal/traffic"
	"flamingodrift.example/standin/internal/workeragent"
)

const (
	startLimit   = 60 * time.Second
	settleLimit  = 120 * time.Second
	pollPause    = 500 * time.Millisecond
	servicesPart = 5
	// settlePause lets the start pass: while a leader cannot rule out that a target had another owner, entry processes
	// report the target in full with each beat.
	settlePause = 15 * time.Second
)

// Config says what to measure.
type Config struct {
	Programs string
	Controls int
	Entries  int
	// Workers are the sizes to measure, each in a cell of its own.
	Workers []int
	// TasksPerWorker run all the time; a fifth of them are services with a target.
	TasksPerWorker int
	// Callers send non-idempotent requests during the measurement; 0 measures control alone.
	Callers int
	Window  time.Duration
	// PollInterval is the interval of workers' polls and targets' announcements.
	PollInterval time.Duration
	// Settings overrides settings of both daemons by name.
	Settings map[string]int
	Out      io.Writer
}

// Run measures each size and prints one line for each role.
func Run(cfg Config) error {
	_, _ = fmt.Fprintf(cfg.Out, "%-9s %8s %8s %10s %10s %10s %10s\n",
		"role", "workers", "tasks", "cpu_core%", "rss_MB", "peak_MB", "net_KB/s")
	for _, workers := range cfg.Workers {
		if err := measure(cfg, workers); err != nil {
			return err
		}
	}
	return nil
}

func measure(cfg Config, workers int) error {
	folder, err := os.MkdirTemp("", "flamingodrift-survey-")
	if err != nil {
		return fmt.Errorf("create folder: %w", err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	cell, err := launcher.New(launcher.Config{
		Programs: cfg.Programs, Folder: folder, Controls: cfg.Controls, Entries: cfg.Entries,
		FailureDomains: []string{"a", "b", "c"}, Settings: cfg.Settings,
	})
	if err != nil {
		return err
	}
	defer cell.Close()
	if err := cell.Bootstrap(); err != nil {
		return err
	}
	if err := cell.StartAll(); err != nil {
		return err
	}
	if err := cell.WaitReady(startLimit); err != nil {
		return err
	}
	watcher := oracle.New()
	for i := range workers {
		w := workeragent.Start(workeragent.Config{
			Name: fmt.Sprintf("worker-%d", i+1), Rack: fmt.Sprintf("rack-%d", i/8+1), FailureDomain: []string{"a", "b", "c"}[i%3],
			IP: cell.WorkerIP(i), Capacity: oracle.Resources{Processors: 32, MemoryMB: 131072}, EntryAddress: rotate(cell, cfg.Entries, i),
			Oracle: watcher, PollInterval: cfg.PollInterval, PollTimeout: 2 * time.Second, DrainTime: 100 * time.Millisecond,
		})
		defer w.Stop()
	}
	if err := fill(cfg, cell, watcher, folder, workers); err != nil {
		return err
	}
	if cfg.Callers > 0 {
		t := traffic.Start(traffic.Config{
			EntryAddress: cell.ReadyEntry, Service: "service", Oracle: watcher, Callers: cfg.Callers, Pause: 20 * time.Millisecond, WorkMs: 10,
		})
		defer func() { _, _ = fmt.Fprintf(cfg.Out, "callers: %v\n", traffic.Counts(t.Stop())) }()
	}
	return window(cfg, cell, workers, watcher.RunningTasks())
}

// rotate spreads the polls of workers over the entry processes without probing them.
func rotate(cell *launcher.Launcher, entries, start int) func() string {
	return func() string {
		start++
		return cell.EntryHTTP(start % entries)
	}
}

// fill applies a sheet that gives every worker its tasks and waits until they run.
func fill(cfg Config, cell *launcher.Launcher, watcher *oracle.Oracle, folder string, workers int) error {
	token, config, sheet := filepath.Join(folder, "token"), filepath.Join(folder, "config"), filepath.Join(folder, "sheet")
	total := workers * cfg.TasksPerWorker
	services := total / servicesPart
	rows := "sheet,1\nkey,team,kind,tasks,processors,memory_mb,command\n" +
		chunks("service", "service", services, "serve 8") + chunks("batch", "batch", total-services, "sleep 1h")
	for file, content := range map[string]string{
		token: launcher.Token, sheet: rows,
		config: `{"teams":[{"name":"team"}],"services":[{"name":"service"}]}`,
	} {
		if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
			return fmt.Errorf("write %s: %w", file, err)
		}
	}
	for _, args := range [][]string{{"configure", config}, {"apply", sheet}} {
		command := exec.Command(filepath.Join(cfg.Programs, "flamingoctl"),
			append([]string{"--entries", cell.EntryHTTP(0), "--token-file", token}, args...)...)
		if out, err := command.CombinedOutput(); err != nil {
			return fmt.Errorf("flamingoctl %s: %w: %s", args[0], err, out)
		}
	}
	for end := time.Now().Add(settleLimit); watcher.RunningTasks() < total; time.Sleep(pollPause) {
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d tasks run", watcher.RunningTasks(), total)
		}
	}
	time.Sleep(settlePause)
	return nil
}

// chunks splits tasks over rows, because a row holds at most 1,000. Services beyond the first row get keys of their own.
func chunks(key, kind string, tasks int, command string) string {
	const perRow = 500
	var rows strings.Builder
	for i := 0; tasks > 0; i++ {
		name := key
		if i > 0 {
			name = fmt.Sprintf("%s-%d", key, i)
		}
		fmt.Fprintf(&rows, "%s,team,%s,%d,0.5,1024,%s\n", name, kind, min(tasks, perRow), command)
		tasks -= perRow
	}
	return rows.String()
}

func window(cfg Config, cell *launcher.Launcher, workers, tasks int) error {
	before := map[string]launcher.Usage{}
	for _, name := range cell.Names("") {
		u, err := cell.Usage(name)
		if err != nil {
			return err
		}
		before[name] = u
	}
	start, leader := time.Now(), cell.Leader()
	time.Sleep(cfg.Window)
	elapsed := time.Since(start).Seconds()
	for _, name := range cell.Names("") {
		after, err := cell.Usage(name)
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintf(cfg.Out, "%-9s %8d %8d %10.2f %10.1f %10.1f %10.2f\n", role(name, leader), workers, tasks,
			(after.CPU-before[name].CPU).Seconds()/elapsed*100, float64(after.ResidentBytes)/(1<<20),
			float64(after.PeakBytes)/(1<<20), float64(after.NetworkBytes-before[name].NetworkBytes)/elapsed/1000)
	}
	return nil
}

func role(name, leader string) string {
	switch {
	case name == leader:
		return "leader"
	case strings.HasPrefix(name, "control-"):
		return "follower"
	default:
		return "entry"
	}
}
