package heartbeater

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"flamingodrift.example/core/wire"
)

// listing is what a beat said about the targets of this process.
type listing struct {
	owned            []*wire.OwnedTarget
	version, session uint64
}

// same reports whether an answered beat said the same, so that it need not be said again.
func (l *listing) same(answered *listing) bool {
	return answered != nil && l.version == answered.version && l.session == answered.session &&
		slices.EqualFunc(l.owned, answered.owned, func(a, b *wire.OwnedTarget) bool { return proto.Equal(a, b) })
}
