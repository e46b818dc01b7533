package controller

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/controld/internal/store"
)

// fullDiskSeeds is how many seeds TestDisksFullOneAfterAnother runs.
var fullDiskSeeds = flag.Int("full-disk-seeds", 12, "seeds of disks that are full one after another")

// Guards against a group that refuses changes or leaves them unanswered after the disks of its hosts were full one after
// another, for some seconds each and never two at once: whatever a full disk has set off must end with it.
func TestDisksFullOneAfterAnother(t *testing.T) {
	for seed := range uint64(*fullDiskSeeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 7))
			f := newFakeFleet(t, seed, 4)
			config := f.config()
			config.MinVoters = 5
			g := newGroupWithTiming(t, 5, config, deployedTiming)
			f.group = g
			if seed%2 == 1 {
				g.lateSyncs = true
				for _, node := range g.nodes {
					node.endSyncsLate()
				}
			}
			g.callUntilOK(configureCall(1))
			for name := range f.workers {
				g.callUntilOK(workerCall(name))
			}
			version, job := uint64(1), 0
			for range 12 {
				full := g.nodes[random.IntN(len(g.nodes))]
				if leader := g.leader(); leader != nil && random.IntN(2) == 0 {
					full = leader
				}
				full.fullMode = fullModes[random.IntN(len(fullModes))]
				full.fullFiles = []string{allFiles, allFiles, "journal", "snapshot"}[random.IntN(4)]
				full.freeBytes = int64(random.IntN(2)) * ampleFreeBytes
				full.fullUntil = g.now + time.Duration(500+random.IntN(4000))*time.Millisecond
				until := full.fullUntil
				for g.now < until {
					g.tryChange(&version, &job, random)
					g.advance(f, 100*time.Millisecond)
					g.restartStopped()
				}
				full.fullFiles, full.freeBytes = noFile, ampleFreeBytes
				for until = g.now + time.Duration(random.IntN(1500))*time.Millisecond; g.now < until; {
					g.tryChange(&version, &job, random)
					g.advance(f, 100*time.Millisecond)
					g.restartStopped()
				}
			}
			for until := g.now + 5*time.Second; g.now < until; {
				g.advance(f, 100*time.Millisecond)
				g.restartStopped()
			}
			version++
			g.callUntilOK(configureCall(version))
			for range 20 {
				job++
				g.callUntilOK(submitCall(job))
			}
			g.advance(f, 30*time.Second)
			leader := g.awaitLeader()
			require.Len(t, g.voters(), 5)
			for _, node := range g.nodes {
				require.NoError(t, node.stopped)
				require.False(t, node.ctl.diskFull)
				require.Equal(t, leader.ctl.applied, node.ctl.applied, node.name)
			}
			require.Equal(t, version, leader.ctl.cell.Batch().Config().GetVersion())
		})
	}
}

// tryChange sends a configuration or a job to the leader, if there is one. Its answer may be anything while a disk is full.
func (g *group) tryChange(version *uint64, job *int, random *rand.Rand) {
	leader := g.leader()
	switch {
	case leader == nil:
	case random.IntN(3) == 0:
		*version++
		g.call(leader, configureCall(*version))
	default:
		*job++
		g.call(leader, submitCall(*job))
	}
}

// restartStopped starts the nodes again that have ended by themselves, as the platform does. A node that can't open its
// data folder ends again.
func (g *group) restartStopped() {
	for _, node := range g.nodes {
		if node.stopped == nil {
			continue
		}
		_ = node.ctl.cfg.Store.Close()
		data, _, err := store.OpenWith(node.dir, node.open)
		if err != nil {
			continue
		}
		require.NoError(g.t, data.Close())
		node.stopped = nil
		g.restart(node, node.dir)
	}
}
