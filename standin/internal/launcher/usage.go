package launcher

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit of processor time in /proc on Linux, 1/100 s.
const clockTick = 10 * time.Millisecond

// Usage is the resource usage of a process since it started.
type Usage struct {
	// CPU is the user and system processor time.
	CPU time.Duration
	// ResidentBytes is the resident memory now, PeakBytes its maximum so far.
	ResidentBytes, PeakBytes int64
	// NetworkBytes counts the payload bytes exchanged with other processes of the cell.
	NetworkBytes int64
}

// Usage returns the resource usage of a process, from /proc and the relays.
func (l *Launcher) Usage(name string) (Usage, error) {
	l.mu.Lock()
	p := l.processes[name]
	l.mu.Unlock()
	u := Usage{NetworkBytes: l.networkBytes(name)}
	folder := fmt.Sprintf("/proc/%d/", p.command.Process.Pid)
	stat, err := os.ReadFile(folder + "stat")
	if err != nil {
		return u, fmt.Errorf("read processor time of %s: %w", name, err)
	}
	// Fields 14 and 15 of proc_pid_stat(5); the name in parentheses before them may contain spaces.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	for _, text := range fields[11:13] {
		ticks, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return u, fmt.Errorf("read processor time of %s: %w", name, err)
		}
		u.CPU += time.Duration(ticks) * clockTick
	}
	status, err := os.ReadFile(folder + "status")
	if err != nil {
		return u, fmt.Errorf("read memory of %s: %w", name, err)
	}
	u.ResidentBytes, u.PeakBytes = kilobytes(status, "VmRSS:"), kilobytes(status, "VmHWM:")
	return u, nil
}

// kilobytes returns a field of /proc/PID/status that is given in kB, in bytes; 0 when it is missing or invalid.
func kilobytes(status []byte, field string) int64 {
	for line := range strings.Lines(string(status)) {
		if rest, ok := strings.CutPrefix(line, field); ok {
			n, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			if err != nil {
				return 0
			}
			return n << 10
		}
	}
	return 0
}

// networkBytes sums the payload bytes of the connections to and from a process.
func (l *Launcher) networkBytes(name string) int64 {
	ip := l.processes[name].ip
	total := int64(0)
	for owner, r := range l.relays {
		for peer, bytes := range r.Bytes() {
			if owner == name || peer == ip {
				total += bytes
			}
		}
	}
	return total
}
