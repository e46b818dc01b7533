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
	startedAt time.Duration
	windows   map[string]*window
	// excess holds the excess jobs that were accepted.
	excess map[string]*window
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

// initialBurst is how many seconds of its rate a workspace may use at once when the Tracker starts. What was accepted
// before is not known, so the windows open at the rate of each workspace: with all of the first window at once, each change
// of the leader would let a workspace over its rate submit five seconds of it again.
const initialBurst = time.Second

// New returns a Tracker with empty windows.
func New(now time.Duration) *Tracker {
	return &Tracker{startedAt: now, windows: map[string]*window{}, excess: map[string]*window{}}
}

// IsExcess reports whether a job would exceed the rate of its workspace, in jobs per second. A job that counts already is
// not excess: its submission is a repetition.
func (t *Tracker) IsExcess(workspace, job string, perSecond float64, now time.Duration) bool {
	limit, period := limitOf(perSecond)
	if known := now - t.startedAt + initialBurst; known < period {
		limit = min(limit, int(math.Ceil(perSecond*known.Seconds())))
	}
	w := t.windows[workspace]
	if w == nil {
		return limit == 0
	}
	w.removeBefore(now - period)
	return !w.jobs[job] && len(w.accepted) >= limit
}

// variation is how many standard deviations of the number of random arrivals in a window count as usual.
const variation = 2

// IsVariation reports whether one more excess job of a workspace is within what its load varies by when its jobs arrive at
// random, at its rate on average. Without this, a workspace of one job a second would be over its rate all the time.
func (t *Tracker) IsVariation(workspace string, perSecond float64, now time.Duration) bool {
	limit, period := limitOf(perSecond)
	w := t.excess[workspace]
	if w == nil {
		return limit > 0
	}
	w.removeBefore(now - period)
	return float64(len(w.accepted)) < variation*math.Sqrt(float64(limit))
}

// Accept counts an accepted job within the rate. A job counts once, however often it is submitted.
func (t *Tracker) Accept(workspace, job string, now time.Duration) {
	accept(t.windows, workspace, job, now)
}

// AcceptExcess counts an accepted job that is excess.
func (t *Tracker) AcceptExcess(workspace, job string, now time.Duration) {
	accept(t.excess, workspace, job, now)
}

func accept(windows map[string]*window, workspace, job string, now time.Duration) {
	w := windows[workspace]
	if w == nil {
		w = &window{jobs: map[string]bool{}}
		windows[workspace] = w
	}
	if w.jobs[job] {
		return
	}
	w.accepted = append(w.accepted, acceptance{job, now})
	w.jobs[job] = true
}

// Keep drops the workspaces for which keep returns false.
func (t *Tracker) Keep(keep func(workspace string) bool) {
	for _, windows := range []map[string]*window{t.windows, t.excess} {
		for name := range windows {
			if !keep(name) {
				delete(windows, name)
			}
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
