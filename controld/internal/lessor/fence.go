package lessor

import (
	"fmt"
	"time"

	"flamingodrift.example/core/wire"
)

// UnknownOwner names the former owner of a target that no entry process claimed after a change of leader.
const UnknownOwner = "unknown"

// fence returns the former owner that stands for an entry process that lost a target. What the process reports counts
// only after it took over a later ownership version.
func (r *Lessor) fence(e *entry, epoch uint64) former {
	return former{entry: e.name, boot: e.boot, epoch: epoch, version: e.version}
}

// confirmFormers removes the former owners that a beat proves to have stopped: a newer boot of the process, or a beat
// that was built after the process learned that it lost the target and no longer lists it.
func (r *Lessor) confirmFormers(e *entry, request *wire.BeatRequest, held map[holding]bool, now time.Duration) {
	learned := request.GetSession() == r.term
	for name, t := range r.targets {
		dropped := t.endFormers(now, func(f former) bool { return f.entry == e.name && f.boot < e.boot })
		dropped += t.dropFormers(func(f former) bool {
			return learned && f.entry == e.name && f.boot == e.boot && request.GetOwnershipVersion() > f.version &&
				!held[holding{name, f.epoch}]
		})
		if dropped > 0 {
			r.touchOwner(t)
			r.forgetSilent(name, t)
		}
	}
}

// recognise notes that a process lists a target that another one owns: it is a former owner, and stands for the unknown
// one if there is one.
func (r *Lessor) recognise(e *entry, t *target, o *wire.OwnedTarget) {
	if t.owner == e.name || o.GetEpoch()>>32 >= r.term || o.GetEpoch() >= t.epoch && t.epoch != 0 {
		return
	}
	if t.epoch == 0 && !o.GetEnded() {
		return
	}
	t.dropFormers(func(f former) bool { return f.entry == "" })
	f := r.fence(e, o.GetEpoch())
	// The reply to this beat, with the present version, tells the process.
	f.version--
	t.addFormer(f)
	t.addFormers(o.GetFormerOwners())
	r.touchOwner(t)
}

func (t *target) addFormers(formers []*wire.FormerOwner) {
	for _, f := range formers {
		t.addFormer(former{entry: f.GetEntry(), boot: f.GetBoot(), epoch: f.GetEpoch()})
	}
}

// Forget gives up the slots that are reserved for former boots of an entry process, or for UnknownOwner. An operator
// does so after making sure that the host is off. It returns an error when the process has a lease or nothing is
// reserved for it.
func (r *Lessor) Forget(name string, now time.Duration) error {
	if r.entries[name] != nil {
		return fmt.Errorf("entry process %s has a lease", name)
	}
	if name == UnknownOwner {
		name = ""
	}
	found := false
	for key, t := range r.targets {
		if t.endFormers(now, func(f former) bool { return f.entry == name }) > 0 {
			found = true
			r.touchOwner(t)
			r.forgetSilent(key, t)
		}
	}
	if !found {
		return fmt.Errorf("no slot is reserved for entry process %s", name)
	}
	return nil
}
