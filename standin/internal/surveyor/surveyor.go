// Package surveyor measures the resource usage of the daemons of a cell for different numbers of workers.
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
	startTimeout = 60 * time.Second
	fillTimeout  = 120 * time.Second
	pollInterval = 500 * time.Millisecond
	// One in servicesOneIn tasks belongs to a service.
	servicesOneIn = 5
	// settleTime keeps the start out of the measurement: as long as a leader cannot rule out that a target had another
	// owner, entry processes report the target in full with each heartbeat.
	settleTime = 15 * time.Second
)

// Config describes a measurement.
type Config struct {
	Programs string
	Controls int
	Entries  int
	// Workers lists the numbers of workers to measure, each in a new cell.
	Workers []int
	// TasksPerWorker is the number of tasks per worker, which run all the time; a fifth of them are targets of services.
	TasksPerWorker int
	// Callers is the number of callers that send non-idempotent requests during the measurement; without callers it shows
	// the cost of control traffic alone.
	Callers int
	Window  time.Duration
	// PollInterval is the interval of workers' polls and targets' announcements.
	PollInterval time.Duration
	// Settings overrides settings of both daemons, by their keys in the settings files.
	Settings map[string]int
	Out      io.Writer
}

// Run measures a cell for each number of workers and prints one line per process with its role.
func Run(cfg Config) error {
	_, _ = fmt.Fprintf(cfg.Out, "%-9s %8s %8s %10s %10s %10s %10s\n",
		"role", "workers", "tasks", "cpu_core%", "rss_MB", "peak_MB", "net_KB/s")
	for _, workers := range cfg.Workers {
		if err := measureCell(cfg, workers); err != nil {
			return err
		}
	}
	return nil
}

func measureCell(cfg Config, workers int) error {
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
	if err := cell.WaitReady(startTimeout); err != nil {
		return err
	}
	observer := oracle.New()
	for i := range workers {
		w := workeragent.Start(workeragent.Config{
			Name: fmt.Sprintf("worker-%d", i+1), Rack: fmt.Sprintf("rack-%d", i/8+1),
			FailureDomain: []string{"a", "b", "c"}[i%3],
			IP:            cell.WorkerIP(i), Capacity: oracle.Resources{Processors: 32, MemoryMB: 131072},
			EntryAddress: roundRobin(cell, cfg.Entries, i),
			Oracle:       observer, PollInterval: cfg.PollInterval, PollTimeout: 2 * time.Second,
			DrainTime: 100 * time.Millisecond,
		})
		defer w.Stop()
	}
	if err := startTasks(cfg, cell, observer, folder, workers); err != nil {
		return err
	}
	if cfg.Callers > 0 {
		t := traffic.Start(traffic.Config{
			EntryAddress: cell.ReadyEntry, Service: "service", Oracle: observer, Callers: cfg.Callers,
			ThinkTime: 20 * time.Millisecond, WorkMs: 10,
		})
		defer func() { _, _ = fmt.Fprintf(cfg.Out, "callers: %v\n", traffic.Counts(t.Stop())) }()
	}
	return measureWindow(cfg, cell, workers, observer.RunningTasks())
}

// roundRobin returns a function that returns the addresses of the entry processes in turn, without checking that they
// are ready.
func roundRobin(cell *launcher.Launcher, entries, start int) func() string {
	return func() string {
		start++
		return cell.EntryAddress(start % entries)
	}
}

// startTasks applies a sheet with TasksPerWorker tasks for each worker and waits until they run.
func startTasks(cfg Config, cell *launcher.Launcher, observer *oracle.Oracle, folder string, workers int) error {
	token, config, sheet := filepath.Join(folder, "token"), filepath.Join(folder, "config"), filepath.Join(folder, "sheet")
	total := workers * cfg.TasksPerWorker
	services := total / servicesOneIn
	rows := "sheet,1\nkey,team,kind,tasks,processors,memory_mb,command\n" +
		sheetRows("service", "service", services, "serve 8") + sheetRows("batch", "batch", total-services, "sleep 1h")
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
			append([]string{"--entries", cell.EntryAddress(0), "--token-file", token}, args...)...)
		if out, err := command.CombinedOutput(); err != nil {
			return fmt.Errorf("flamingoctl %s: %w: %s", args[0], err, out)
		}
	}
	for end := time.Now().Add(fillTimeout); observer.RunningTasks() < total; time.Sleep(pollInterval) {
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d tasks run", observer.RunningTasks(), total)
		}
	}
	time.Sleep(settleTime)
	return nil
}

// sheetRows returns the rows of a sheet for a number of tasks, split because a row holds at most 1,000 tasks. Each row
// after the first has a key of its own.
func sheetRows(key, kind string, tasks int, command string) string {
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

// measureWindow prints the resource usage of each process during the measurement window.
func measureWindow(cfg Config, cell *launcher.Launcher, workers, tasks int) error {
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
