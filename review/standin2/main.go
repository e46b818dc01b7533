// Command review-2 plays one case of the second review: it starts the project's programs as processes on loopback
// addresses, with stand-ins for the platform, the operator, the runners and the clients, and checks one rule from what
// these see.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// verdict is the exit status of a case.
type verdict int

const (
	held     verdict = 0
	broken   verdict = 1
	couldNot verdict = 2
)

// cases maps the name of a case to its play. A play returns an error if the case could not run.
var cases = map[string]func(*cell, bool) (verdict, error){}

// playLimit ends a case that takes too long.
const playLimit = 115 * time.Second

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE RECORD")
		os.Exit(int(couldNot))
	}
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(int(couldNot))
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(int(couldNot))
	}
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(int(couldNot))
	}
	c := &cell{root: root, folder: folder, rec: rec}
	go func() {
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
		select {
		case s := <-signals:
			rec.line("the case was ended: %v", s)
		case <-time.After(playLimit):
			rec.line("the case took too long")
		}
		c.stop()
		_ = os.RemoveAll(folder)
		os.Exit(int(couldNot))
	}()
	if os.Getenv("KEEP") != "" {
		fmt.Println("the folder with logs is kept:", folder)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.line("case %s, trouble %v", os.Args[1], trouble)
	result, err := cases[os.Args[1]](c, trouble)
	c.stop()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(folder)
	}
	if err != nil {
		rec.line("the case could not run: %v", err)
		result = couldNot
	}
	rec.line("%s", [...]string{"the rule held", "THE RULE WAS BROKEN", "could not run"}[result])
	rec.close()
	os.Exit(int(result))
}
