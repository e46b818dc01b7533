package lessor

import (
	"fmt"
	"time"

	"flamingodrift.example/core/wire"
)

// UnknownOwner is the name of a former owner that is not known, because no entry process reported the target after a
// change of leader.
const UnknownOwner = "unknown"

// newFormerOwner returns the former owner for an entry process that lost a target. Only a heartbeat with a later
// ownership version can confirm that the process has stopped using the target.
func (l *Lessor) newFormerOwner(e *entry, epoch uint64) formerOwner {
	return formerOwner{entry: e.name, boot: e.boot, epoch: epoch, version: e.version}
}

// removeStoppedFormerOwners removes the former owners that a heartbeat proves to have stopped using their targets: it
// is from a newer boot of the process, or it was built after the process learned that it lost the target and does not
// list the target.
func (l *Lessor) removeStoppedFormerOwners(
	e *entry, request *wire.BeatRequest, reported map[targetEpoch]bool, now time.Duration,
) {
	sameSession := request.GetSession() == l.term
	for name, t := range l.targets {
		removed := t.endFormerOwners(now, func(f formerOwner) bool { return f.entry == e.name && f.boot < e.boot })
		removed += t.removeFormerOwners(func(f formerOwner) bool {
			return sameSession && f.entry == e.name && f.boot == e.boot && request.GetOwnershipVersion() > f.version &&
				!reported[targetEpoch{name, f.epoch}]
		})
		if removed > 0 {
			l.bumpOwnerVersion(t)
			l.removeIfSilent(name, t)
		}
	}
}

// identifyFormerOwner adds a process as a former owner if it reports a target that another process owns. It replaces
// the unknown former owner of the target, if there is one.
func (l *Lessor) identifyFormerOwner(e *entry, t *target, o *wire.OwnedTarget) {
	if t.owner == e.name || o.GetEpoch()>>32 >= l.term || o.GetEpoch() >= t.epoch && t.epoch != 0 {
		return
	}
	if t.epoch == 0 && !o.GetEnded() {
		return
	}
	t.removeFormerOwners(func(f formerOwner) bool { return f.entry == "" })
	f := l.newFormerOwner(e, o.GetEpoch())
	// The reply to this heartbeat carries the current version and tells the process that it lost the target.
	f.version--
	t.addFormerOwner(f)
	t.addFormerOwners(o.GetFormerOwners())
	l.bumpOwnerVersion(t)
}

func (t *target) addFormerOwners(formers []*wire.FormerOwner) {
	for _, f := range formers {
		t.addFormerOwner(formerOwner{entry: f.GetEntry(), boot: f.GetBoot(), epoch: f.GetEpoch()})
	}
}

// Forget removes an entry process, or UnknownOwner, from the former owners of all targets, so that slots are no longer
// reserved for it. An operator requests this after making sure that its host is off. Forget returns an error if the
// process has a lease or no slot is reserved for it.
func (l *Lessor) Forget(name string, now time.Duration) error {
	if l.entries[name] != nil {
		return fmt.Errorf("entry process %s has a lease", name)
	}
	if name == UnknownOwner {
		name = ""
	}
	found := false
	for key, t := range l.targets {
		if t.endFormerOwners(now, func(f formerOwner) bool { return f.entry == name }) > 0 {
			found = true
			l.bumpOwnerVersion(t)
			l.removeIfSilent(key, t)
		}
	}
	if !found {
		return fmt.Errorf("no slot is reserved for entry process %s", name)
	}
	return nil
}
