package store

import (
	"crypto/rand"
	"encoding/base32"
)

// idBytes is the number of random bytes in a node id. 64 bits suffice, since a group never has more than a few hundred
// ids. Each heartbeat and each reply carries two ids, so short ids matter: UUIDs of 36 characters made up two thirds of
// the idle traffic.
const idBytes = 8

var idEncoding = base32.NewEncoding("abcdefghijklmnopqrstuvwxyz234567").WithPadding(base32.NoPadding)

// newNodeID returns a random id of 13 characters.
func newNodeID() string {
	var random [idBytes]byte
	// rand.Read never returns an error; it crashes the process instead.
	_, _ = rand.Read(random[:])
	return idEncoding.EncodeToString(random[:])
}
