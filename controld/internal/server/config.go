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

// configFile is the notation in which operators write the configuration.
type configFile struct {
	Profile  string          `json:"profile"`
	Teams    []configTeam    `json:"teams"`
	Services []configService `json:"services"`
}

type configTeam struct {
	Name   string `json:"name"`
	Weight uint32 `json:"weight"`
	// Quota fields of zero mean no limit.
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
	maxDeadlineMs    = 600_000
	standardDeadline = 10_000
	maxQueue         = 4_096
	standardQueue    = 256
	maxServices      = 256
	maxWeight        = 1_000
	maxConfigName    = 128
	maxProcessors    = 1_000_000
	maxMemoryMB      = 1_000_000_000_000
	maxAccelerators  = 1_000_000
)

// declarableMethods may be declared idempotent; GET, HEAD and OPTIONS always are.
var declarableMethods = []string{http.MethodPut, http.MethodPost, http.MethodPatch, http.MethodDelete}

// names are the names that a sheet can write, so that teams and services of the configuration can be matched.
var names = regexp.MustCompile(fmt.Sprintf(`^[A-Za-z0-9._-]{1,%d}$`, maxConfigName))

// configCheck collects the problems of a configuration.
type configCheck struct {
	problems []loader.Problem
}

func (c *configCheck) fail(path, value, allowed string) {
	c.problems = append(c.problems, loader.Problem{Path: path, Value: value, Allowed: allowed})
}

func (c *configCheck) upTo(path string, value, low, high float64) {
	if value < low || value > high {
		c.fail(path, strconv.FormatFloat(value, 'f', -1, 64), fmt.Sprintf("%.0f to %.0f", low, high))
	}
}

func (c *configCheck) name(seen map[string]bool, path, name string) {
	if !names.MatchString(name) {
		c.fail(path+".name", name, fmt.Sprintf("1 to %d letters, digits, '.', '_' and '-'", maxConfigName))
	}
	if seen[name] {
		c.fail(path+".name", name, "a name that is used once")
	}
	seen[name] = true
}

// Check fills in defaults and returns every problem.
func (f *configFile) Check() []loader.Problem {
	c := &configCheck{}
	if f.Profile == "" {
		f.Profile = "waiting"
	}
	if f.Profile != "waiting" && f.Profile != "packing" {
		c.fail("profile", f.Profile, "waiting, packing")
	}
	teams := map[string]bool{}
	for i := range f.Teams {
		path := fmt.Sprintf("teams[%d]", i)
		c.name(teams, path, f.Teams[i].Name)
		f.Teams[i].check(c, path)
	}
	if len(f.Services) > maxServices {
		c.fail("services", strconv.Itoa(len(f.Services)), fmt.Sprintf("at most %d", maxServices))
	}
	services := map[string]bool{}
	for i := range f.Services {
		path := fmt.Sprintf("services[%d]", i)
		c.name(services, path, f.Services[i].Name)
		f.Services[i].check(c, path)
	}
	return c.problems
}

func (t *configTeam) check(c *configCheck, path string) {
	if t.Weight == 0 {
		t.Weight = 1
	}
	c.upTo(path+".weight", float64(t.Weight), 1, maxWeight)
	c.upTo(path+".quota.processors", t.Quota.Processors, 0, maxProcessors)
	c.upTo(path+".quota.memory_mb", float64(t.Quota.MemoryMB), 0, maxMemoryMB)
	c.upTo(path+".quota.accelerators", float64(t.Quota.Accelerators), 0, maxAccelerators)
}

func (s *configService) check(c *configCheck, path string) {
	if s.DeadlineMs == 0 {
		s.DeadlineMs = standardDeadline
	}
	if s.Queue == 0 {
		s.Queue = standardQueue
	}
	c.upTo(path+".deadline_ms", float64(s.DeadlineMs), 1, maxDeadlineMs)
	c.upTo(path+".queue", float64(s.Queue), 1, maxQueue)
	for i, method := range s.IdempotentMethods {
		if !slices.Contains(declarableMethods, method) {
			c.fail(fmt.Sprintf("%s.idempotent_methods[%d]", path, i), method, strings.Join(declarableMethods, ", "))
		}
	}
}

func parseConfig(text string) (*wire.Config, *wire.Reply) {
	file := &configFile{}
	if err := loader.Parse("configuration", []byte(text), file); err != nil {
		return nil, invalid("%v", err)
	}
	config := &wire.Config{Profile: file.Profile}
	for _, t := range file.Teams {
		config.Teams = append(config.Teams, &wire.Team{Name: t.Name, Weight: t.Weight, Quota: &wire.Resources{
			CpuMilli: int64(math.Round(t.Quota.Processors * 1000)), MemoryMb: t.Quota.MemoryMB, Accelerators: t.Quota.Accelerators,
		}})
	}
	for _, s := range file.Services {
		config.Services = append(config.Services, &wire.Service{
			Name: s.Name, IdempotentMethods: s.IdempotentMethods, DeadlineMs: s.DeadlineMs, Queue: s.Queue,
		})
	}
	return config, nil
}
