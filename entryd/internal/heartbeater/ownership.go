package heartbeater

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"flamingodrift.example/core/wire"
)

// ownership is what a heartbeat states about the targets that this process owns.
type ownership struct {
	owned            []*wire.OwnedTarget
	version, session uint64
}

// equals reports whether an answered heartbeat stated the same, so that the list can be left out.
func (o *ownership) equals(answered *ownership) bool {
	return answered != nil && o.version == answered.version && o.session == answered.session &&
		slices.EqualFunc(o.owned, answered.owned, func(a, b *wire.OwnedTarget) bool { return proto.Equal(a, b) })
}
