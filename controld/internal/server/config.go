package server

import (
	"fmt"
	"math"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"flamingodrift.example/core/loader"
	"flamingodrift.example/core/wire"
)

// configFile is the configuration as operators write it.
type configFile struct {
	Profile  string          `json:"profile"`
	Teams    []configTeam    `json:"teams"`
	Services []configService `json:"services"`
}

type configTeam struct {
	Name   string `json:"name"`
	Weight uint32 `json:"weight"`
	// Quota sets no limit where a field is zero.
	Quota struct {
		Processors   float64 `json:"processors"`
		MemoryMB     int64   `json:"memory_mb"`
		Accelerators int64   `json:"accelerators"`
	} `json:"quota"`
}

type configService struct {
	Name              string   `json:"name"`
	IdempotentMethods []string `json:"idempotent_methods"`
	DeadlineMs        uint32   `json:"deadline_ms"`
	Queue             uint32   `json:"queue"`
}

const (
	maxDeadlineMs       = 600_000
	defaultDeadlineMs   = 10_000
	maxQueueLength      = 4_096
	defaultQueueLength  = 256
	maxServices         = 256
	maxWeight           = 1_000
	maxConfigNameLength = 128
	maxProcessors       = 1_000_000
	maxMemoryMB         = 1_000_000_000_000
	maxAccelerators     = 1_000_000
)

// declarableMethods holds the HTTP methods that a service may declare idempotent; GET, HEAD and OPTIONS always are.
var declarableMethods = []string{http.MethodPut, http.MethodPost, http.MethodPatch, http.MethodDelete}

// namePattern matches the names that a sheet can contain. A team or service under another name could never be referred
// to.
var namePattern = regexp.MustCompile(fmt.Sprintf(`^[A-Za-z0-9._-]{1,%d}$`, maxConfigNameLength))

// configChecker collects the problems of a configuration.
type configChecker struct {
	problems []loader.Problem
}

func (c *configChecker) addProblem(path, value, allowed string) {
	c.problems = append(c.problems, loader.Problem{Path: path, Value: value, Allowed: allowed})
}

func (c *configChecker) checkRange(path string, value, low, high float64) {
	if value < low || value > high {
		c.addProblem(path, strconv.FormatFloat(value, 'f', -1, 64), fmt.Sprintf("%.0f to %.0f", low, high))
	}
}

// checkName checks the name at path and records it in seen, which holds the names before it.
func (c *configChecker) checkName(seen map[string]bool, path, name string) {
	if !namePattern.MatchString(name) {
		c.addProblem(path+".name", name, fmt.Sprintf("1 to %d letters, digits, '.', '_' and '-'", maxConfigNameLength))
	}
	if seen[name] {
		c.addProblem(path+".name", name, "a name that is used once")
	}
	seen[name] = true
}

// Check fills in defaults and returns all problems.
func (f *configFile) Check() []loader.Problem {
	c := &configChecker{}
	if f.Profile == "" {
		f.Profile = "waiting"
	}
	if f.Profile != "waiting" && f.Profile != "packing" {
		c.addProblem("profile", f.Profile, "waiting, packing")
	}
	teams := map[string]bool{}
	for i := range f.Teams {
		path := fmt.Sprintf("teams[%d]", i)
		c.checkName(teams, path, f.Teams[i].Name)
		f.Teams[i].check(c, path)
	}
	if len(f.Services) > maxServices {
		c.addProblem("services", strconv.Itoa(len(f.Services)), fmt.Sprintf("at most %d", maxServices))
	}
	services := map[string]bool{}
	for i := range f.Services {
		path := fmt.Sprintf("services[%d]", i)
		c.checkName(services, path, f.Services[i].Name)
		f.Services[i].check(c, path)
	}
	return c.problems
}

func (t *configTeam) check(c *configChecker, path string) {
	if t.Weight == 0 {
		t.Weight = 1
	}
	c.checkRange(path+".weight", float64(t.Weight), 1, maxWeight)
	c.checkRange(path+".quota.processors", t.Quota.Processors, 0, maxProcessors)
	c.checkRange(path+".quota.memory_mb", float64(t.Quota.MemoryMB), 0, maxMemoryMB)
	c.checkRange(path+".quota.accelerators", float64(t.Quota.Accelerators), 0, maxAccelerators)
}

func (s *configService) check(c *configChecker, path string) {
	if s.DeadlineMs == 0 {
		s.DeadlineMs = defaultDeadlineMs
	}
	if s.Queue == 0 {
		s.Queue = defaultQueueLength
	}
	c.checkRange(path+".deadline_ms", float64(s.DeadlineMs), 1, maxDeadlineMs)
	c.checkRange(path+".queue", float64(s.Queue), 1, maxQueueLength)
	for i, method := range s.IdempotentMethods {
		if !slices.Contains(declarableMethods, method) {
			c.addProblem(fmt.Sprintf("%s.idempotent_methods[%d]", path, i), method, strings.Join(declarableMethods, ", "))
		}
	}
}

// parseConfig parses a configuration; the second result is the reply that refuses an invalid one.
func parseConfig(text string) (*wire.Config, *wire.Reply) {
	file := &configFile{}
	if err := loader.Parse("configuration", []byte(text), file); err != nil {
		return nil, invalidRequest("%v", err)
	}
	config := &wire.Config{Profile: file.Profile}
	for _, t := range file.Teams {
		config.Teams = append(config.Teams, &wire.Team{Name: t.Name, Weight: t.Weight, Quota: &wire.Resources{
			CpuMilli: int64(math.Round(t.Quota.Processors * 1000)), MemoryMb: t.Quota.MemoryMB,
			Accelerators: t.Quota.Accelerators,
		}})
	}
	for _, s := range file.Services {
		config.Services = append(config.Services, &wire.Service{
			Name: s.Name, IdempotentMethods: s.IdempotentMethods, DeadlineMs: s.DeadlineMs, Queue: s.Queue,
		})
	}
	return config, nil
}
