// Command standin3 plays the scripted cases of a review: it starts the project's programs with the commands of the deploy
// file on loopback addresses, with stand-in runners, clients and an operator that follow the users' pages, and checks one
// rule. It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"syscall"
	"time"
)

// limit is the longest time that a case may take.
const limit = 115 * time.Second

// scene is what a case works with.
type scene struct {
	ctx     context.Context
	cell    *cell
	world   *world
	client  *client
	rec     *recorder
	trouble bool
}

var cases = map[string]func(*scene) (bool, error){
	"unproven":  unprovenWorkers,
	"excluded":  excludedWorkers,
	"unslashed": addedQueue,
}

// The main goroutine starts the processes, and their end is tied to the thread that started them.
func init() { runtime.LockOSThread() }

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin3 CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) int {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = file.Close() }()
	rec := &recorder{file: file, began: time.Now()}
	temp, err := os.MkdirTemp("", "review")
	if err != nil {
		return 2
	}
	defer func() { _ = os.RemoveAll(temp) }()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	c, err := newCell(rec, temp, 5, 3)
	if err != nil {
		rec.log("check", "the case cannot run: %v", err)
		return 2
	}
	defer c.stopAll()
	w := newWorld(rec)
	defer w.stop()
	s := &scene{ctx: ctx, cell: c, world: w, client: newClient(c, w), rec: rec, trouble: os.Getenv("TROUBLE") != "0"}
	if err := c.startAll(); err != nil {
		rec.log("check", "the case cannot run: %v", err)
		return 2
	}
	type result struct {
		broken bool
		err    error
	}
	results := make(chan result, 1)
	go func() {
		broken, err := cases[name](s)
		results <- result{broken, err}
	}()
	select {
	case <-ctx.Done():
		rec.log("check", "the case was ended after %v", limit)
		return 2
	case r := <-results:
		switch {
		case r.err != nil:
			rec.log("check", "the case cannot run: %v", r.err)
			return 2
		case r.broken:
			rec.log("check", "the rule was broken")
			return 1
		default:
			rec.log("check", "the rule held")
			return 0
		}
	}
}
