package store

import (
	"crypto/rand"
	"encoding/base32"
)

// idBytes gives node ids of 64 random bits, of which a group never sees more than a few hundred. Two ids go with each
// heartbeat and its answer, so their length counts: a UUID of 36 characters made up two thirds of the idle traffic.
const idBytes = 8

var idEncoding = base32.NewEncoding("abcdefghijklmnopqrstuvwxyz234567").WithPadding(base32.NoPadding)

// newNodeID returns a random id of 13 characters.
func newNodeID() string {
	var random [idBytes]byte
	// Read never fails; without random numbers it ends the process.
	_, _ = rand.Read(random[:])
	return idEncoding.EncodeToString(random[:])
}
