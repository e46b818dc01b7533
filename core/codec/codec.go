// Package codec frames protobuf messages on a byte stream.
package codec

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"
)

// MaxFrameBytes bounds one message on a stream. The largest is a forwarded answer of 8 MiB with its headers.
const MaxFrameBytes = 9 << 20

// ErrTooLarge is returned for a message above MaxFrameBytes.
var ErrTooLarge = errors.New("message exceeds the frame limit")

const headerBytes = 4

// Codec reads and writes messages of type T, each preceded by its length as a big-endian uint32.
type Codec[T proto.Message] struct {
	newMessage func() T
}

// New returns a Codec that decodes into messages made by newMessage.
func New[T proto.Message](newMessage func() T) Codec[T] {
	return Codec[T]{newMessage: newMessage}
}

// Write sends one message with a single call of w.Write.
func (c Codec[T]) Write(w io.Writer, msg T) error {
	frame := make([]byte, headerBytes, headerBytes+proto.Size(msg))
	frame, err := proto.MarshalOptions{}.MarshalAppend(frame, msg)
	if err != nil {
		return fmt.Errorf("encode message: %w", err)
	}
	size := len(frame) - headerBytes
	if size > MaxFrameBytes {
		return ErrTooLarge
	}
	binary.BigEndian.PutUint32(frame, uint32(size))
	if _, err := w.Write(frame); err != nil {
		return fmt.Errorf("write message: %w", err)
	}
	return nil
}

// Read receives one message. It returns io.EOF when the stream ended before the first byte.
func (c Codec[T]) Read(r io.Reader) (T, error) {
	var none T
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return none, io.EOF
		}
		return none, fmt.Errorf("read message header: %w", err)
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > MaxFrameBytes {
		return none, ErrTooLarge
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(r, data); err != nil {
		return none, fmt.Errorf("read message body: %w", err)
	}
	msg := c.newMessage()
	if err := proto.Unmarshal(data, msg); err != nil {
		return none, fmt.Errorf("decode message: %w", err)
	}
	return msg, nil
}
