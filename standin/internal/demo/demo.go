// Package demo starts a small cell, uses it as operators and callers do, and removes it again.
package demo

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"flamingodrift.example/standin/internal/launcher"
	"flamingodrift.example/standin/internal/oracle"
	"flamingodrift.example/standin/internal/workeragent"
)

const (
	startTimeout = 30 * time.Second
	waitTimeout  = 30 * time.Second
	workerCount  = 6
	pollInterval = 200 * time.Millisecond
)

// Config describes a demo.
type Config struct {
	// Programs is the folder of the built programs.
	Programs string
	// Examples is the folder of config.json and sheet.csv.
	Examples string
	Out      io.Writer
}

type demo struct {
	cfg    Config
	cell   *launcher.Launcher
	oracle *oracle.Oracle
	token  string
}

// Run starts the cell, applies the example and prints each stage.
func Run(cfg Config) error {
	folder, err := os.MkdirTemp("", "flamingodrift-demo-")
	if err != nil {
		return fmt.Errorf("create folder: %w", err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	cell, err := launcher.New(launcher.Config{
		Programs: cfg.Programs, Folder: folder, Controls: 3, Entries: 2,
		FailureDomains: []string{"khomas-a", "khomas-b", "khomas-c"},
	})
	if err != nil {
		return err
	}
	defer cell.Close()
	d := &demo{cfg: cfg, cell: cell, oracle: oracle.New(), token: filepath.Join(folder, "token")}
	if err := os.WriteFile(d.token, []byte(launcher.Token), 0o600); err != nil {
		return fmt.Errorf("write token: %w", err)
	}
	d.printf("This demo starts a small cell of Kapana Chairshare on loopback addresses, works with it, " +
		"and removes it again.")
	if err := d.start(); err != nil {
		return err
	}
	for i := range workerCount {
		w := d.worker(i)
		defer w.Stop()
	}
	return d.runStages()
}

func (d *demo) start() error {
	if err := d.cell.Bootstrap(); err != nil {
		return err
	}
	if err := d.cell.StartAll(); err != nil {
		return err
	}
	if err := d.cell.WaitReady(startTimeout); err != nil {
		return err
	}
	d.printf("Three control processes and two entry processes are ready; %s leads. Six stand-in workers join.",
		d.cell.Leader())
	return nil
}

func (d *demo) worker(i int) *workeragent.Worker {
	return workeragent.Start(workeragent.Config{
		Name: fmt.Sprintf("worker-%d", i+1), Rack: fmt.Sprintf("rack-%d", i/2+1),
		FailureDomain: []string{"khomas-a", "khomas-b", "khomas-c"}[i%3], IP: d.cell.WorkerIP(i),
		Capacity: oracle.Resources{Processors: 8, MemoryMB: 32768}, EntryAddress: d.cell.ReadyEntry, Oracle: d.oracle,
		PollInterval: 500 * time.Millisecond, PollTimeout: 2 * time.Second, DrainTime: time.Second,
	})
}

// sendRequests sends an idempotent request and then a deposit charge, which is not idempotent, twice with one key, and
// checks that the charge ran once.
func (d *demo) sendRequests() error {
	if err := d.request(http.MethodGet, "/call/chairbook/free?day=friday", ""); err != nil {
		return err
	}
	for range 2 {
		if err := d.request(http.MethodPost, "/call/chairbook/deposit", "deposit-1"); err != nil {
			return err
		}
	}
	if n := d.oracle.Executions("barber-1", "deposit-1"); n != 1 {
		return fmt.Errorf("the deposit charge ran %d times", n)
	}
	d.printf("  The deposit charge was sent twice and ran once; the second time the stored answer was given.")
	return nil
}

func (d *demo) request(method, path, key string) error {
	request, err := http.NewRequest(method, "http://"+d.cell.ReadyEntry()+path, strings.NewReader("chair 7"))
	if err != nil {
		return err
	}
	request.Header.Set("Flamingo-Caller", "barber-1")
	request.Header.Set("Idempotency-Key", key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("call: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	d.printf("  %s %s -> %s: %s, %q", method, path, response.Header.Get("Flamingo-Outcome"), response.Status, body)
	if response.Header.Get("Flamingo-Outcome") != "answered" {
		return errors.New("the request was not answered")
	}
	return nil
}

func (d *demo) command(args ...string) *exec.Cmd {
	entries := d.cell.EntryAddress(0) + "," + d.cell.EntryAddress(1)
	return exec.Command(filepath.Join(d.cfg.Programs, "flamingoctl"),
		append([]string{"--entries", entries, "--token-file", d.token}, args...)...)
}

func (d *demo) output(args ...string) string {
	out, err := d.command(args...).Output()
	if err != nil {
		return ""
	}
	return string(out)
}

// runCtl runs flamingoctl, prints the command and its output, and checks its exit code.
func (d *demo) runCtl(code int, args ...string) error {
	d.printf("\n$ flamingoctl %s", strings.Join(args, " "))
	out, err := d.command(args...).CombinedOutput()
	_, _ = d.cfg.Out.Write(out)
	got := 0
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		got = exit.ExitCode()
	} else if err != nil {
		return fmt.Errorf("flamingoctl %s: %w", args[0], err)
	}
	if got != code {
		return fmt.Errorf("flamingoctl %s exits with %d, not %d", args[0], got, code)
	}
	return nil
}

func (d *demo) waitFor(what string, ok func() bool) error {
	for end := time.Now().Add(waitTimeout); !ok(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			return fmt.Errorf("%s did not appear in time", what)
		}
	}
	return nil
}

func (d *demo) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(d.cfg.Out, format+"\n", args...)
}
