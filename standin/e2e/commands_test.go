package e2e

import (
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"flamingodrift.example/standin/internal/launcher"
	"flamingodrift.example/standin/internal/oracle"
	"flamingodrift.example/standin/internal/traffic"
	"flamingodrift.example/standin/internal/workeragent"
)

const (
	startTimeout       = 30 * time.Second
	checkInterval      = 100 * time.Millisecond
	workerPollInterval = 250 * time.Millisecond
)

// settings shortens leases and timeouts to about a quarter of their defaults, so that a scenario takes seconds. The
// ratios between them are kept.
var settings = map[string]int{
	"heartbeat_ms": 100, "election_min_ms": 500, "election_max_ms": 1000, "worker_lease_ms": 2500, "poll_timeout_ms": 1000,
	"entry_lease_ms": 1000, "target_silent_ms": 2000, "beat_ms": 250, "currency_ms": 2000, "drain_ms": 500,
}

// fixture is the state of one script.
type fixture struct {
	folder     string
	cell       *launcher.Launcher
	oracle     *oracle.Oracle
	workers    []*workeragent.Worker
	traffic    *traffic.Traffic
	calls      sync.WaitGroup
	callErrors []string
	mu         sync.Mutex
}

type fixtureKey struct{}

func setup(env *testscript.Env) error {
	s := &fixture{folder: env.WorkDir, oracle: oracle.New()}
	env.Values[fixtureKey{}] = s
	env.Defer(s.close)
	return nil
}

func (s *fixture) close() {
	if s.traffic != nil {
		s.traffic.Stop()
	}
	for _, w := range s.workers {
		w.Stop()
	}
	if s.cell != nil {
		s.cell.Close()
	}
}

// withFixture returns a script command that gets the fixture of the script.
func withFixture(
	run func(s *fixture, ts *testscript.TestScript, args []string),
) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		if neg {
			ts.Fatalf("this command cannot be negated")
		}
		run(ts.Value(fixtureKey{}).(*fixture), ts, args)
	}
}

// onProcess returns a script command that applies a function to each process named in its arguments.
func onProcess(act func(cell *launcher.Launcher, name string) error) func(*testscript.TestScript, bool, []string) {
	return withFixture(func(s *fixture, ts *testscript.TestScript, args []string) {
		for _, name := range args {
			ts.Check(act(s.cell, name))
		}
	})
}

// commands are the commands of the scripts, besides those of testscript. crash, shutdown, start, pause, resume, wipe,
// cut and heal take names of processes; cut and heal start and end a network partition.
var commands = map[string]func(*testscript.TestScript, bool, []string){
	"cell":       withFixture(cmdCell),
	"leader":     withFixture(cmdLeader),
	"eventually": withFixture(cmdEventually),
	"call":       withFixture(cmdCall),
	"callwait":   withFixture(cmdCallWait),
	"traffic":    withFixture(cmdTraffic),
	"worker":     withFixture(cmdWorker),
	"ran":        withFixture(cmdRan),
	"ready":      withFixture(cmdReady),
	"voter":      withFixture(cmdVoter),
	"sleep":      withFixture(cmdSleep),
	"repeat":     withFixture(cmdRepeat),
	"check":      withFixture(cmdCheck),
	"chaos":      withFixture(cmdChaos),
	"crash":      onProcess((*launcher.Launcher).Kill),
	"shutdown":   onProcess((*launcher.Launcher).Stop),
	"start":      onProcess((*launcher.Launcher).Start),
	"pause":      onProcess((*launcher.Launcher).Pause),
	"resume":     onProcess((*launcher.Launcher).Resume),
	"wipe":       onProcess((*launcher.Launcher).WipeDisk),
	"cut": onProcess(func(cell *launcher.Launcher, name string) error {
		cell.SetPartitioned(name, true)
		return nil
	}),
	"heal": onProcess(func(cell *launcher.Launcher, name string) error {
		cell.SetPartitioned(name, false)
		return nil
	}),
}

// cmdCell implements the command "cell CONTROLS ENTRIES WORKERS", which starts a cell.
func cmdCell(s *fixture, ts *testscript.TestScript, args []string) {
	counts := make([]int, 3)
	for i := range counts {
		n, err := strconv.Atoi(args[i])
		ts.Check(err)
		counts[i] = n
	}
	programs, err := filepath.Abs(programsFolder)
	ts.Check(err)
	s.cell, err = launcher.New(launcher.Config{
		Programs: programs, Folder: s.folder, Controls: counts[0], Entries: counts[1],
		FailureDomains: []string{"a", "b", "c"}, Settings: settings,
	})
	ts.Check(err)
	ts.Check(s.cell.Bootstrap())
	ts.Check(s.cell.StartAll())
	ts.Check(s.cell.WaitReady(startTimeout))
	for i := range counts[2] {
		s.workers = append(s.workers, workeragent.Start(workeragent.Config{
			Name: fmt.Sprintf("worker-%d", i+1), Rack: fmt.Sprintf("rack-%d", i/2+1),
			FailureDomain: []string{"a", "b", "c"}[i%3],
			IP:            s.cell.WorkerIP(i), Capacity: oracle.Resources{Processors: 8, MemoryMB: 32768},
			EntryAddress: s.cell.ReadyEntry,
			Oracle:       s.oracle, PollInterval: workerPollInterval,
			PollTimeout: time.Duration(settings["poll_timeout_ms"]) * time.Millisecond,
			DrainTime:   time.Second,
		}))
	}
	var entries []string
	for i := range counts[1] {
		entries = append(entries, s.cell.EntryAddress(i))
	}
	ts.Setenv("FLAMINGO_ENTRIES", strings.Join(entries, ","))
	ts.Setenv("FLAMINGO_TOKEN_FILE", ts.MkAbs("token"))
	ts.Setenv("PATH", programs+":"+ts.Getenv("PATH"))
	s.waitVoters(ts, counts[0])
}

// waitVoters waits until every control process is a voter.
func (s *fixture) waitVoters(ts *testscript.TestScript, voters int) {
	s.waitOutput(ts, startTimeout, fmt.Sprintf("%d control voters", voters), []string{"status"}, 0)
}

// cmdLeader implements the command "leader VAR [VAR...]", which waits for a leader and stores its name, and optionally
// the names of followers, in variables.
func cmdLeader(s *fixture, ts *testscript.TestScript, args []string) {
	name := ""
	for end := time.Now().Add(startTimeout); name == ""; time.Sleep(checkInterval) {
		if time.Now().After(end) {
			ts.Fatalf("no control process leads")
		}
		name = s.cell.Leader()
	}
	ts.Setenv(args[0], name)
	next := 1
	for _, other := range s.cell.Names("control-") {
		if other != name && next < len(args) {
			ts.Setenv(args[next], other)
			next++
		}
	}
}

// cmdEventually implements the command "eventually SECONDS [-count=N] PATTERN ARGS...", which runs flamingoctl until
// its output matches the pattern, or matches it exactly N times.
func cmdEventually(s *fixture, ts *testscript.TestScript, args []string) {
	seconds, err := strconv.ParseFloat(args[0], 64)
	ts.Check(err)
	args = args[1:]
	count := 0
	if value, ok := strings.CutPrefix(args[0], "-count="); ok {
		count, err = strconv.Atoi(value)
		ts.Check(err)
		args = args[1:]
	}
	s.waitOutput(ts, time.Duration(seconds*float64(time.Second)), args[0], args[1:], count)
}

// waitOutput runs flamingoctl until its output has count matches of a pattern, or any number of them if count is 0.
func (s *fixture) waitOutput(ts *testscript.TestScript, limit time.Duration, pattern string, args []string, count int) {
	expression, err := regexp.Compile("(?m)" + pattern)
	ts.Check(err)
	out := ""
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(checkInterval) {
		command := exec.Command(filepath.Join(programsFolder, "flamingoctl"), args...)
		command.Env = []string{
			"FLAMINGO_ENTRIES=" + ts.Getenv("FLAMINGO_ENTRIES"), "FLAMINGO_TOKEN_FILE=" + ts.Getenv("FLAMINGO_TOKEN_FILE"),
		}
		data, _ := command.CombinedOutput()
		out = string(data)
		found := len(expression.FindAllString(out, -1))
		if count == 0 && found > 0 || count > 0 && found == count {
			return
		}
	}
	ts.Fatalf("no match for %q in time; the last output was:\n%s", pattern, out)
}

// cmdCall implements the command "call [-bg] [-entry=N] OUTCOME METHOD PATH [CALLER KEY]", which sends a request and
// checks its outcome. With -bg, callwait checks it.
func cmdCall(s *fixture, ts *testscript.TestScript, args []string) {
	address, background := s.cell.ReadyEntry(), false
	for strings.HasPrefix(args[0], "-") {
		if value, ok := strings.CutPrefix(args[0], "-entry="); ok {
			n, err := strconv.Atoi(value)
			ts.Check(err)
			address = s.cell.EntryAddress(n - 1)
		}
		background = background || args[0] == "-bg"
		args = args[1:]
	}
	want := args[0]
	request, err := http.NewRequest(args[1], "http://"+address+args[2], strings.NewReader("body"))
	ts.Check(err)
	if len(args) > 4 {
		request.Header.Set("Flamingo-Caller", args[3])
		request.Header.Set("Idempotency-Key", args[4])
	}
	if !background {
		if got := outcomeOf(request); got != want {
			ts.Fatalf("outcome %q, want %q", got, want)
		}
		return
	}
	s.calls.Add(1)
	go func() {
		defer s.calls.Done()
		if got := outcomeOf(request); got != want && want != "any" {
			s.mu.Lock()
			s.callErrors = append(s.callErrors, fmt.Sprintf("%s %s: outcome %q, want %q", args[1], args[2], got, want))
			s.mu.Unlock()
		}
	}()
}

// outcomeOf sends a request and returns its outcome, with the reason if there is one.
func outcomeOf(request *http.Request) string {
	client := http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return "error: " + err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.ReadAll(response.Body); err != nil {
		return "error: " + err.Error()
	}
	outcome := response.Header.Get("Flamingo-Outcome")
	if why := response.Header.Get("Flamingo-Reason"); why != "" {
		outcome += ":" + why
	}
	return outcome
}

// cmdCallWait implements the command "callwait", which waits for the background calls and checks their outcomes.
func cmdCallWait(s *fixture, ts *testscript.TestScript, _ []string) {
	s.calls.Wait()
	if len(s.callErrors) > 0 {
		ts.Fatalf("%s", strings.Join(s.callErrors, "\n"))
	}
}

// cmdRan implements the command "ran TIMES CALLER KEY", which checks how many times targets ran a request.
func cmdRan(s *fixture, ts *testscript.TestScript, args []string) {
	if got := strconv.Itoa(s.oracle.Executions(args[1], args[2])); got != args[0] {
		ts.Fatalf("request %s of %s ran %s times, want %s", args[2], args[1], got, args[0])
	}
}

// cmdTraffic implements the commands "traffic start SERVICE CALLERS THINK_MS WORK_MS", which starts callers, and
// "traffic stop MIN_ANSWERED [all]", which stops them and checks that enough requests, or all of them, were answered.
func cmdTraffic(s *fixture, ts *testscript.TestScript, args []string) {
	numbers := make([]int, 0, 3)
	for _, text := range args[1:] {
		if n, err := strconv.Atoi(text); err == nil {
			numbers = append(numbers, n)
		}
	}
	if args[0] == "start" {
		s.traffic = traffic.Start(traffic.Config{
			EntryAddress: s.cell.ReadyEntry, Service: args[1], Oracle: s.oracle, Callers: numbers[0],
			ThinkTime: time.Duration(numbers[1]) * time.Millisecond, WorkMs: numbers[2],
		})
		return
	}
	results := s.traffic.Stop()
	s.traffic = nil
	counts := traffic.Counts(results)
	reasons := map[string]int{}
	for _, r := range results {
		if r.Outcome != traffic.Answered {
			reasons[string(r.Outcome)+":"+r.Reason]++
		}
	}
	ts.Logf("outcomes %v, reasons %v", counts, reasons)
	if counts[traffic.Answered] < numbers[0] {
		ts.Fatalf("%d requests were answered, want at least %d", counts[traffic.Answered], numbers[0])
	}
	if len(args) > 2 && args[2] == "all" && counts[traffic.Answered] != len(results) {
		ts.Fatalf("not every request was answered: %v %v", counts, reasons)
	}
}

// cmdWorker implements the command "worker cut|heal|fail|recover|stop N...". cut and heal start and end a network
// partition, fail and recover set whether the tasks of the worker fail.
func cmdWorker(s *fixture, ts *testscript.TestScript, args []string) {
	for _, text := range args[1:] {
		n, err := strconv.Atoi(text)
		ts.Check(err)
		w := s.workers[n-1]
		switch args[0] {
		case "cut", "heal":
			w.SetPartitioned(args[0] == "cut")
		case "fail", "recover":
			w.SetFailing(args[0] == "fail")
		case "stop":
			w.Stop()
		default:
			ts.Fatalf("unknown action %s", args[0])
		}
	}
}

// cmdReady implements the command "ready SECONDS yes|no N", which waits until an entry process is ready or not ready.
func cmdReady(s *fixture, ts *testscript.TestScript, args []string) {
	seconds, err := strconv.ParseFloat(args[0], 64)
	ts.Check(err)
	n, err := strconv.Atoi(args[2])
	ts.Check(err)
	for end := time.Now().Add(time.Duration(seconds * float64(time.Second))); ; time.Sleep(checkInterval) {
		if launcher.Ready(s.cell.EntryAddress(n-1)) == (args[1] == "yes") {
			return
		}
		if time.Now().After(end) {
			ts.Fatalf("entry-%d: ready is not %s in time", n, args[1])
		}
	}
}

// cmdVoter implements the command "voter SECONDS NAME", which waits until a control process reports that it is a voter.
func cmdVoter(s *fixture, ts *testscript.TestScript, args []string) {
	seconds, err := strconv.ParseFloat(args[0], 64)
	ts.Check(err)
	for end := time.Now().Add(time.Duration(seconds * float64(time.Second))); ; time.Sleep(checkInterval) {
		if health, ok := s.cell.ControlHealth(args[1]); ok && health.Voter {
			return
		}
		if time.Now().After(end) {
			ts.Fatalf("%s is not a voter in time", args[1])
		}
	}
}

// cmdSleep implements the command "sleep DURATION".
func cmdSleep(_ *fixture, ts *testscript.TestScript, args []string) {
	duration, err := time.ParseDuration(args[0])
	ts.Check(err)
	time.Sleep(duration)
}

// cmdRepeat implements the command "repeat N FILE...", which applies the configurations in turn, N times in all.
func cmdRepeat(_ *fixture, ts *testscript.TestScript, args []string) {
	n, err := strconv.Atoi(args[0])
	ts.Check(err)
	for i := range n {
		ts.Check(ts.Exec("flamingoctl", "configure", args[1+i%(len(args)-1)]))
	}
}

// cmdCheck implements the command "check", which fails when the oracle recorded a violation.
func cmdCheck(s *fixture, ts *testscript.TestScript, _ []string) {
	if violations := s.oracle.Violations(); len(violations) > 0 {
		ts.Fatalf("%s", strings.Join(violations, "\n"))
	}
}
