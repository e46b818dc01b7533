package controller

import (
	"slices"
	"time"

	"flamingodrift.example/core/executor"
)

// waitForAnswers lets orders wait for simulated time. Each runs in a goroutine of its own, and only one of them, or the
// test, runs at a time, so that the runs of a seed are alike.
func (f *fakeFleet) waitForAnswers() {
	f.yielded = make(chan struct{})
	for _, node := range f.group.nodes {
		node.ctl.async = f.async
	}
	f.t.Cleanup(func() {
		for len(f.waiting) > 0 {
			f.group.now += time.Second
			f.wakeCalls()
		}
	})
}

func (f *fakeFleet) async(call func()) {
	go func() {
		defer func() { f.yielded <- struct{}{} }()
		call()
	}()
	<-f.yielded
}

// wait blocks a call until simulated time has passed.
func (f *fakeFleet) wait(d time.Duration) {
	wake := make(chan struct{})
	f.waiting = append(f.waiting, waitingCall{f.group.now + d, wake})
	f.yielded <- struct{}{}
	<-wake
}

// wakeCalls lets the calls go on whose time has come.
func (f *fakeFleet) wakeCalls() {
	var due []waitingCall
	f.waiting = slices.DeleteFunc(f.waiting, func(c waitingCall) bool {
		isDue := c.until <= f.group.now
		if isDue {
			due = append(due, c)
		}
		return isDue
	})
	for _, c := range due {
		close(c.wake)
		<-f.yielded
	}
}

// reach waits until an order reaches a worker and returns Done, or returns the answer to an order that did not. It is
// sent on an open connection, which ends with the incarnation of the worker, or on a new one.
func (f *fakeFleet) reach(name string, timeout time.Duration) executor.Answer {
	if f.yielded == nil {
		return executor.Answer{Status: executor.Done}
	}
	sentAt, sentTo := f.group.now, f.workers[name]
	onNewConnection := sentTo.brokenConnections == 0 && f.rand.IntN(2) == 0
	openedAt := max(sentTo.beganAt, sentAt-time.Duration(f.rand.Int64N(int64(2*time.Second))))
	if sentTo.brokenConnections > 0 {
		openedAt = sentTo.beganAt - time.Second
	}
	for {
		w, now := f.workers[name], f.group.now
		lost := executor.Answer{Status: executor.Unknown}
		if !onNewConnection {
			lost.ConnectedFor = now - openedAt
		}
		switch {
		case now >= w.silentUntil && !onNewConnection && (w != sentTo || w.brokenConnections > 0):
			w.brokenConnections = max(0, w.brokenConnections-1)
			return lost
		case now >= w.silentUntil:
			return executor.Answer{Status: executor.Done}
		case onNewConnection && now-sentAt >= dialTimeout:
			return executor.Answer{Status: executor.NotSent}
		case now-sentAt >= timeout:
			return lost
		}
		f.wait(testTick)
	}
}

// awaitEnd waits at a worker until there is an end to report, but not longer than d. It returns false if the connection
// is lost meanwhile.
func (f *fakeFleet) awaitEnd(name string, d time.Duration) bool {
	w, arrivedAt := f.workers[name], f.group.now
	for len(w.ended) == 0 && f.group.now-arrivedAt < d && f.workers[name] == w {
		f.wait(testTick)
	}
	if f.workers[name] == w && f.group.now >= w.silentUntil {
		return true
	}
	f.wait(max(0, arrivedAt+d+orderTimeout-f.group.now))
	return false
}
