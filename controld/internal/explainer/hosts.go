package explainer

import (
	"fmt"
	"slices"
	"sort"
	"strings"

	"flamingodrift.example/controld/internal/worker"
)

// Host is one entry of the list of control members, entry processes and workers, or of the list of targets.
type Host struct {
	Name          string `json:"name"`
	Role          string `json:"role"`
	State         string `json:"state"`
	FailureDomain string `json:"failure_domain,omitempty"`
	Rack          string `json:"rack,omitempty"`
	Address       string `json:"address,omitempty"`
	Service       string `json:"service,omitempty"`
	Owner         string `json:"owner,omitempty"`
	Slots         uint32 `json:"slots,omitempty"`
	Tasks         int    `json:"tasks,omitempty"`
	Sentence      string `json:"sentence"`
}

// Hosts lists control members, entry processes and workers.
func (e *Explainer) Hosts() []*Host {
	return slices.Concat(e.controls(), e.entries(), e.workers(), e.queueWorkers())
}

func (e *Explainer) controls() []*Host {
	hosts := []*Host{}
	for _, m := range e.Membership.GetMembers() {
		h := &Host{Name: m.GetName(), Role: "control", FailureDomain: m.GetFailureDomain(), Address: m.GetAddress()}
		switch {
		case m.GetName() == e.LeaderName:
			h.State, h.Sentence = "leader", "It leads: it decides what runs where."
		case slices.Contains(e.SilentMembers, m.GetId()):
			h.State, h.Sentence = "silent", "The leader has not heard it for some seconds."
		case m.GetVoter():
			h.State, h.Sentence = "voter", "It stores the control state and can become the leader."
		default:
			h.State, h.Sentence = "non_voter", "It stores the control state and becomes a voter when one is missing."
		}
		hosts = append(hosts, h)
	}
	return hosts
}

func (e *Explainer) entries() []*Host {
	hosts := []*Host{}
	for _, entry := range e.Lessor.Entries() {
		h := &Host{
			Name: entry.Name, Role: "entry", State: "ready", FailureDomain: entry.FailureDomain, Address: entry.Address,
		}
		h.Sentence = fmt.Sprintf("It owns %s.", countNoun(entry.Targets, "target"))
		if entry.Leaving {
			h.State, h.Sentence = "leaving", "It shuts down; its targets move to others."
		}
		hosts = append(hosts, h)
	}
	for _, silent := range e.Tally.SilentEntries() {
		hosts = append(hosts, &Host{
			Name: silent.Name, Role: "entry", State: "silent",
			Sentence: fmt.Sprintf("It has not reported since its lease ran out at %s; others own its targets.",
				formatTime(silent.SinceUnixMs)),
		})
	}
	return hosts
}

func (e *Explainer) workers() []*Host {
	hosts := []*Host{}
	for _, w := range e.Cell.Workers() {
		hosts = append(hosts, &Host{
			Name: w.Name(), Role: "worker", State: workerState(w), FailureDomain: w.FailureDomain(), Rack: w.Rack(),
			Tasks: len(w.Tasks()), Sentence: e.workerSentence(w),
		})
	}
	sort.Slice(hosts, func(a, b int) bool { return hosts[a].Name < hosts[b].Name })
	return hosts
}

func workerState(w *worker.Worker) string {
	switch {
	case w.Lost():
		return "lost"
	case w.Held():
		return "held"
	case w.Draining():
		return "draining"
	default:
		return "ready"
	}
}

func (e *Explainer) workerSentence(w *worker.Worker) string {
	used, capacity := w.Used(), w.Capacity()
	usage := fmt.Sprintf("%s, %.1f of %.1f processors and %d of %d MB are taken.", countNoun(len(w.Tasks()), "task"),
		float64(used.CPU())/1000, float64(capacity.CPU())/1000, used.Memory(), capacity.Memory())
	switch workerState(w) {
	case "lost":
		return fmt.Sprintf("Lost since %s: it stopped polling and its lease ran out; its tasks were placed again.",
			formatTime(w.SinceUnixMs()))
	case "held":
		return fmt.Sprintf("Set aside: %s. It gets no new tasks until a probe succeeds. %s", w.HoldReason(), usage)
	case "draining":
		return "An operator drains it: its tasks move to other workers and it gets no new ones. " + usage
	default:
		return usage + e.silenceSentence(w.Name())
	}
}

// Targets lists the targets that have announced themselves.
func (e *Explainer) Targets() []*Host {
	hosts := []*Host{}
	for _, t := range e.Lessor.Targets() {
		h := &Host{
			Name: t.Name, Role: "target", State: "ready", Address: t.Address, Service: t.Service, Owner: t.Owner, Slots: t.Slots,
			Sentence: fmt.Sprintf("It serves %s with %s through entry process %s.",
				t.Service, countNoun(int(t.Slots), "slot"), t.Owner),
		}
		switch {
		case t.Leaving:
			h.State, h.Sentence = "leaving", fmt.Sprintf(
				"It leaves %s: it gets no new requests and finishes those in progress.", t.Service)
		case t.Owner == "":
			h.State = "unowned"
			h.Sentence = fmt.Sprintf("It serves %s, but no entry process owns it yet: earlier leases must run out first.",
				t.Service)
		}
		if t.Reserved > 0 {
			h.Sentence += fmt.Sprintf(" %s unused until these former owners report again: %s.",
				countNoun(t.Reserved, "slot"), strings.Join(t.FormerOwners, ", "))
		}
		hosts = append(hosts, h)
	}
	return hosts
}
