package server

import (
	"fmt"

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
	maxDeadlineMs     = 600_000
	standardDeadline  = 10_000
	maxQueue          = 4_096
	standardQueue     = 256
	maxServices       = 256
	maxWeight         = 1_000
	maxConfigNameByte = 128
)

// Check fills in defaults and returns every problem.
func (c *configFile) Check() []loader.Problem {
	var problems []loader.Problem
	fail := func(path, value, allowed string) {
		problems = append(problems, loader.Problem{Path: path, Value: value, Allowed: allowed})
	}
	if c.Profile == "" {
		c.Profile = "waiting"
	}
	if c.Profile != "waiting" && c.Profile != "packing" {
		fail("profile", c.Profile, "waiting, packing")
	}
	if len(c.Services) > maxServices {
		fail("services", fmt.Sprint(len(c.Services)), fmt.Sprintf("at most %d", maxServices))
	}
	seen := map[string]bool{}
	for i := range c.Teams {
		t := &c.Teams[i]
		path := fmt.Sprintf("teams[%d]", i)
		if t.Weight == 0 {
			t.Weight = 1
		}
		if t.Weight > maxWeight {
			fail(path+".weight", fmt.Sprint(t.Weight), fmt.Sprintf("1 to %d", maxWeight))
		}
		if t.Quota.Processors < 0 || t.Quota.MemoryMB < 0 || t.Quota.Accelerators < 0 {
			fail(path+".quota", fmt.Sprint(t.Quota), "amounts of 0 or more")
		}
		checkName(fail, seen, path, "team", t.Name)
	}
	for i := range c.Services {
		s := &c.Services[i]
		path := fmt.Sprintf("services[%d]", i)
		if s.DeadlineMs == 0 {
			s.DeadlineMs = standardDeadline
		}
		if s.Queue == 0 {
			s.Queue = standardQueue
		}
		if s.DeadlineMs > maxDeadlineMs {
			fail(path+".deadline_ms", fmt.Sprint(s.DeadlineMs), fmt.Sprintf("1 to %d", maxDeadlineMs))
		}
		if s.Queue > maxQueue {
			fail(path+".queue", fmt.Sprint(s.Queue), fmt.Sprintf("1 to %d", maxQueue))
		}
		checkName(fail, seen, path, "service", s.Name)
	}
	return problems
}

func checkName(fail func(path, value, allowed string), seen map[string]bool, path, kind, name string) {
	if name == "" || len(name) > maxConfigNameByte {
		fail(path+".name", name, fmt.Sprintf("1 to %d bytes", maxConfigNameByte))
	}
	if seen[kind+" "+name] {
		fail(path+".name", name, "a name that is used once")
	}
	seen[kind+" "+name] = true
}

func parseConfig(text string) (*wire.Config, *wire.Reply) {
	file := &configFile{}
	if err := loader.Parse("configuration", []byte(text), file); err != nil {
		return nil, invalid("%v", err)
	}
	config := &wire.Config{Profile: file.Profile}
	for _, t := range file.Teams {
		config.Teams = append(config.Teams, &wire.Team{Name: t.Name, Weight: t.Weight, Quota: &wire.Resources{
			CpuMilli: int64(t.Quota.Processors * 1000), MemoryMb: t.Quota.MemoryMB, Accelerators: t.Quota.Accelerators,
		}})
	}
	for _, s := range file.Services {
		config.Services = append(config.Services, &wire.Service{
			Name: s.Name, IdempotentMethods: s.IdempotentMethods, DeadlineMs: s.DeadlineMs, Queue: s.Queue,
		})
	}
	return config, nil
}
