// Package ratetracker decides which jobs are within the rate that their workspace is guaranteed and which are excess. It
// does no I/O and reads no clock.
package ratetracker

import (
	"math"
	"time"
)

// Window is the period over which the rate of a workspace is measured.
const Window = 5 * time.Second

// Tracker counts the jobs of each workspace that were accepted within its guaranteed rate. Refused and excess jobs do
// not count, so that a workspace over its rate still gets all of it.
type Tracker struct {
	windows map[string]*window
}

// window holds the jobs of one workspace that count, oldest first.
type window struct {
	accepted []acceptance
	jobs     map[string]bool
}

type acceptance struct {
	job string
	at  time.Duration
}

// New returns a Tracker with empty windows.
func New() *Tracker { return &Tracker{windows: map[string]*window{}} }

// IsExcess reports whether a job would exceed the rate of its workspace, in jobs per second. A job that counts already is
// not excess: its submission is a repetition.
func (t *Tracker) IsExcess(workspace, job string, perSecond float64, now time.Duration) bool {
	limit, period := limitOf(perSecond)
	w := t.windows[workspace]
	if w == nil {
		return limit == 0
	}
	w.removeBefore(now - period)
	return !w.jobs[job] && len(w.accepted) >= limit
}

// Accept counts an accepted job. A job counts once, however often it is submitted.
func (t *Tracker) Accept(workspace, job string, now time.Duration) {
	w := t.windows[workspace]
	if w == nil {
		w = &window{jobs: map[string]bool{}}
		t.windows[workspace] = w
	}
	if w.jobs[job] {
		return
	}
	w.accepted = append(w.accepted, acceptance{job, now})
	w.jobs[job] = true
}

// Keep drops the workspaces for which keep returns false.
func (t *Tracker) Keep(keep func(workspace string) bool) {
	for name := range t.windows {
		if !keep(name) {
			delete(t.windows, name)
		}
	}
}

// removeBefore drops the jobs that were accepted at a time or before it.
func (w *window) removeBefore(at time.Duration) {
	count := 0
	for count < len(w.accepted) && w.accepted[count].at <= at {
		delete(w.jobs, w.accepted[count].job)
		count++
	}
	w.accepted = w.accepted[count:]
}

// limitOf returns how many jobs a rate allows in a period. The period is that of a whole number of jobs, so that a rate of
// less than one job per Window is not rounded to none.
func limitOf(perSecond float64) (int, time.Duration) {
	if perSecond <= 0 {
		return 0, Window
	}
	limit := math.Ceil(perSecond * Window.Seconds())
	return int(limit), time.Duration(limit / perSecond * float64(time.Second))
}
