// Package codec frames protobuf messages on a byte stream.
package codec

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"
)

// MaxFrameBytes is the maximum size of an encoded message. The largest message is a forwarded answer of 8 MiB plus its
// headers.
const MaxFrameBytes = 9 << 20

// ErrTooLarge is returned for a message larger than MaxFrameBytes.
var ErrTooLarge = errors.New("message exceeds the frame limit")

const headerBytes = 4

// Codec reads and writes messages of type T, each prefixed with its length as a big-endian uint32.
type Codec[T proto.Message] struct {
	newMessage func() T
}

// New returns a Codec that decodes into messages created by newMessage.
func New[T proto.Message](newMessage func() T) Codec[T] {
	return Codec[T]{newMessage: newMessage}
}

// Write writes one message in a single call to w.Write.
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

// Read reads one message. It returns io.EOF if the stream ends before the first byte.
func (c Codec[T]) Read(r io.Reader) (T, error) {
	size, err := c.ReadSize(r)
	if err != nil {
		var zero T
		return zero, err
	}
	return c.ReadBody(r, size)
}

// ReadSize reads the size of the next message. It returns io.EOF if the stream ends before the first byte.
func (c Codec[T]) ReadSize(r io.Reader) (int, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return 0, io.EOF
		}
		return 0, fmt.Errorf("read message header: %w", err)
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > MaxFrameBytes {
		return 0, ErrTooLarge
	}
	return int(size), nil
}

// ReadBody reads a message of the given size.
func (c Codec[T]) ReadBody(r io.Reader, size int) (T, error) {
	var zero T
	data := make([]byte, size)
	if _, err := io.ReadFull(r, data); err != nil {
		return zero, fmt.Errorf("read message body: %w", err)
	}
	msg := c.newMessage()
	if err := proto.Unmarshal(data, msg); err != nil {
		return zero, fmt.Errorf("decode message: %w", err)
	}
	return msg, nil
}
