package soaker

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

const (
	metricsPort   = 7203
	operatorToken = "token-of-the-operator"
	operatorPause = time.Second
	// exitNoAnswer is how flamingoctl says that no leader answered.
	exitNoAnswer = 3
)

// queueLine is what flamingoctl tells of a queue.
type queueLine struct {
	Queue        string `json:"queue"`
	WaitingJobs  int    `json:"waiting_jobs"`
	RunningJobs  int    `json:"running_jobs"`
	WaitingTasks int    `json:"waiting_tasks"`
	RunningTasks int    `json:"running_tasks"`
}

func (s *Soaker) metrics(i int) string { return fmt.Sprintf("%s:%d", s.ip(40+i), metricsPort) }

func (s *Soaker) tokenFile() string { return filepath.Join(s.cfg.Folder, "operator-token") }

// askQueues asks with flamingoctl what waits and runs; ok is false when no leader answered.
func (s *Soaker) askQueues(ctx context.Context) (lines []queueLine, ok bool) {
	var entries []string
	for i := range s.cfg.Fronts {
		entries = append(entries, s.metrics(i))
	}
	out, err := exec.CommandContext(ctx, filepath.Join(s.cfg.Programs, "flamingoctl"),
		"--entries", strings.Join(entries, ","), "--token-file", s.tokenFile(), "-o", "json", "queues").Output()
	var exit *exec.ExitError
	switch {
	case ctx.Err() != nil || errors.As(err, &exit) && exit.ExitCode() == exitNoAnswer:
		return nil, false
	case err != nil:
		s.violate("flamingoctl queues: %v", err)
		return nil, false
	}
	if err := json.Unmarshal(out, &lines); err != nil {
		s.violate("flamingoctl queues does not decode: %v", err)
		return nil, false
	}
	return lines, true
}

// checkQueuesEmpty holds the operators' answer against what callers saw: after all jobs have ended, nothing waits or runs.
func (s *Soaker) checkQueuesEmpty(ctx context.Context) {
	var lines []queueLine
	empty := s.until(healLimit, func() bool {
		answer, ok := s.askQueues(ctx)
		if !ok {
			return false
		}
		lines = answer
		for _, q := range lines {
			q.Queue = ""
			if q != (queueLine{}) {
				return false
			}
		}
		return len(lines) > 0
	})
	if !empty {
		s.violate("all jobs have ended, and operators are told: %+v", lines)
	}
}
