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
	queryInterval = time.Second
	// exitNoAnswer is the exit code of flamingoctl when no leader answered.
	exitNoAnswer = 3
)

// queueLine is the state of one queue as flamingoctl prints it.
type queueLine struct {
	Queue        string `json:"queue"`
	WaitingJobs  int    `json:"waiting_jobs"`
	RunningJobs  int    `json:"running_jobs"`
	WaitingTasks int    `json:"waiting_tasks"`
	RunningTasks int    `json:"running_tasks"`
}

func (s *Soaker) metricsAddress(i int) string { return fmt.Sprintf("%s:%d", s.ip(40+i), metricsPort) }

func (s *Soaker) tokenFile() string { return filepath.Join(s.cfg.Folder, "operator-token") }

// queryQueues returns the state of the queues from flamingoctl; ok is false when no leader answered.
func (s *Soaker) queryQueues(ctx context.Context) (lines []queueLine, ok bool) {
	var entries []string
	for i := range s.cfg.Fronts {
		entries = append(entries, s.metricsAddress(i))
	}
	out, err := exec.CommandContext(ctx, filepath.Join(s.cfg.Programs, "flamingoctl"),
		"--entries", strings.Join(entries, ","), "--token-file", s.tokenFile(), "-o", "json", "queues").Output()
	var exit *exec.ExitError
	switch {
	case ctx.Err() != nil || errors.As(err, &exit) && exit.ExitCode() == exitNoAnswer:
		return nil, false
	case err != nil:
		s.recordViolation("flamingoctl queues: %v", err)
		return nil, false
	}
	if err := json.Unmarshal(out, &lines); err != nil {
		s.recordViolation("cannot decode the output of flamingoctl queues: %v", err)
		return nil, false
	}
	return lines, true
}

// checkQueuesEmpty checks that operators see no waiting or running jobs and tasks after callers have seen all jobs end.
func (s *Soaker) checkQueuesEmpty(ctx context.Context) {
	var lines []queueLine
	empty := s.waitUntil(settleTimeout, func() bool {
		answer, ok := s.queryQueues(ctx)
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
		s.recordViolation("all jobs have ended, but flamingoctl queues reports %+v", lines)
	}
}
