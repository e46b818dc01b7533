package scenario

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/stretchr/testify/require"

	"flamingodrift.example/standin/internal/launcher"
	"flamingodrift.example/standin/internal/oracle"
	"flamingodrift.example/standin/internal/workeragent"
)

const (
	startTimeout  = 30 * time.Second
	awaitTimeout  = 20 * time.Second
	awaitInterval = 50 * time.Millisecond
)

// settings makes elections and leases short, so that a scenario takes seconds.
var settings = map[string]int{
	"heartbeat_ms": 50, "election_min_ms": 300, "election_max_ms": 600, "worker_lease_ms": 3_000, "poll_timeout_ms": 1_000,
	"entry_lease_ms": 1_000, "target_silent_ms": 2_000, "beat_ms": 100, "currency_ms": 3_000,
	"poll_batch_ms": 5, "drain_ms": 50,
}

// TestScenarios checks the output of flamingoctl for operators and the exit codes that operators' scripts rely on.
func TestScenarios(t *testing.T) {
	programs, err := filepath.Abs("../../../build")
	require.NoError(t, err)
	require.FileExists(t, filepath.Join(programs, "flamingoctl"), "run make build first")
	var mu sync.Mutex
	var violations []string
	t.Cleanup(func() { require.Empty(t, violations, "broken invariants of the cell") })
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			env.Setenv("PATH", programs+string(os.PathListSeparator)+env.Getenv("PATH"))
			env.Values[cellKey{}] = &cellHolder{}
			env.Values[violationsKey{}] = func(found ...string) {
				mu.Lock()
				defer mu.Unlock()
				violations = append(violations, found...)
			}
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"cell":      startCell,
			"ctl":       ctl,
			"await":     await,
			"no-tokens": noTokens,
			"process":   process,
		},
	})
}

// violationsKey is the key of the function that records violations.
type violationsKey struct{}

// cellKey is the key of the cell of a scenario.
type cellKey struct{}

type cellHolder struct{ cell *launcher.Launcher }

// process implements the command "process start|kill NAME", which starts or kills a process of the cell.
func process(ts *testscript.TestScript, _ bool, args []string) {
	cell := ts.Value(cellKey{}).(*cellHolder).cell
	if args[0] == "kill" {
		ts.Check(cell.Kill(args[1]))
		return
	}
	ts.Check(cell.Start(args[1]))
}

// startCell implements the command "cell WORKERS", which starts three control processes, two entry processes and
// workers.
func startCell(ts *testscript.TestScript, _ bool, args []string) {
	workers, err := strconv.Atoi(args[0])
	ts.Check(err)
	cell, err := launcher.New(launcher.Config{
		Programs: filepath.Dir(must(exec.LookPath(filepath.Join(filepath.SplitList(ts.Getenv("PATH"))[0], "controld")))),
		Folder:   ts.MkAbs("."), Controls: 3, Entries: 2, FailureDomains: []string{"a", "b", "c"}, Settings: settings,
	})
	ts.Check(err)
	ts.Defer(cell.Close)
	ts.Check(cell.Bootstrap())
	ts.Check(cell.StartAll())
	ts.Check(cell.WaitReady(startTimeout))
	observer := oracle.New()
	ts.Defer(func() { ts.Value(violationsKey{}).(func(...string))(observer.Violations()...) })
	for i := range workers {
		ts.Defer(workeragent.Start(workeragent.Config{
			Name: fmt.Sprintf("worker-%d", i+1), Rack: fmt.Sprintf("rack-%d", i+1), FailureDomain: []string{"a", "b", "c"}[i%3],
			IP: cell.WorkerIP(i), Capacity: oracle.Resources{Processors: 8, MemoryMB: 32768}, EntryAddress: cell.ReadyEntry,
			Oracle:       observer,
			PollInterval: 100 * time.Millisecond, PollTimeout: time.Second, DrainTime: 50 * time.Millisecond,
		}).Stop)
	}
	token := ts.MkAbs("token")
	ts.Check(os.WriteFile(token, []byte(launcher.Token+"\n"), 0o600))
	ts.Setenv("FLAMINGO_TOKEN_FILE", token)
	ts.Value(cellKey{}).(*cellHolder).cell = cell
	ts.Setenv("FLAMINGO_ENTRIES", cell.EntryAddress(0)+","+cell.EntryAddress(1))
	if workers > 0 {
		await(ts, false, []string{"0", fmt.Sprintf(`There are %d worker`, workers), "status"})
	}
}

func must(path string, err error) string {
	if err != nil {
		panic(err)
	}
	return path
}

// run runs flamingoctl and returns its exit code. Scripts can check its output with stdout and stderr.
func run(ts *testscript.TestScript, args []string) int {
	err := ts.Exec("flamingoctl", args...)
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return exit.ExitCode()
	}
	ts.Check(err)
	return 0
}

// ctl implements the command "ctl CODE ARGUMENT...", which runs flamingoctl and checks its exit code.
func ctl(ts *testscript.TestScript, _ bool, args []string) {
	if code := run(ts, args[1:]); strconv.Itoa(code) != args[0] {
		ts.Fatalf("flamingoctl exits with %d, not %s", code, args[0])
	}
}

// await implements the command "await CODE REGEXP ARGUMENT...", which runs flamingoctl until its exit code and output
// are as expected.
func await(ts *testscript.TestScript, _ bool, args []string) {
	pattern := regexp.MustCompile("(?m)" + args[1])
	for end := time.Now().Add(awaitTimeout); ; time.Sleep(awaitInterval) {
		code := run(ts, args[2:])
		if strconv.Itoa(code) == args[0] && pattern.MatchString(ts.ReadFile("stdout")) {
			return
		}
		if time.Now().After(end) {
			ts.Fatalf("flamingoctl exits with %d, and its output does not match %q in time", code, args[1])
		}
	}
}

// noTokens implements the command "no-tokens", which checks that no process of the cell has logged a token and that
// each line of the logs is JSON.
func noTokens(ts *testscript.TestScript, _ bool, _ []string) {
	logs, err := filepath.Glob(ts.MkAbs("*.log"))
	ts.Check(err)
	if len(logs) != 5 {
		ts.Fatalf("found %d log files, want 5", len(logs))
	}
	for _, file := range logs {
		text := ts.ReadFile(file)
		for _, line := range strings.Split(strings.TrimSpace(text), "\n") {
			if !json.Valid([]byte(line)) {
				ts.Fatalf("%s has a line that is not JSON: %s", file, line)
			}
		}
		for _, token := range []string{launcher.Token, "standin-cell-token", "a-wrong-token-of-some-length"} {
			if strings.Contains(text, token) {
				ts.Fatalf("%s has the token %s", file, token)
			}
		}
	}
}
