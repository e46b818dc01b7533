package journal

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"google.golang.org/protobuf/proto"
)

// Every frame is a header of 16 bytes and a payload: length (4 bytes), version (2), reserved (2, zero), CRC-32C of the
// payload (4), CRC-32C of the first 12 header bytes (4). Numbers are little-endian. The header has its own checksum so
// that a damaged length cannot look like a frame that a crash cut short.
const (
	headerBytes     = 16
	version         = 2
	maxPayloadBytes = 16 << 20
	// sectorBytes is the smallest unit that a disk writes. A sector that was not written before a power loss reads as
	// zeros.
	sectorBytes = 512
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// appendFrame appends a frame that holds msg to buf.
func appendFrame(buf []byte, msg proto.Message, limit int) ([]byte, error) {
	start := len(buf)
	buf = append(buf, make([]byte, headerBytes)...)
	buf, err := proto.MarshalOptions{}.MarshalAppend(buf, msg)
	if err != nil {
		return nil, fmt.Errorf("encode record: %w", err)
	}
	header := buf[start : start+headerBytes]
	payload := buf[start+headerBytes:]
	if len(payload) > limit {
		return nil, fmt.Errorf("record of %d bytes exceeds %d", len(payload), limit)
	}
	binary.LittleEndian.PutUint32(header, uint32(len(payload)))
	binary.LittleEndian.PutUint16(header[4:], version)
	seal(header, payload)
	return buf, nil
}

func seal(header, payload []byte) {
	binary.LittleEndian.PutUint32(header[8:], crc32.Checksum(payload, castagnoli))
	binary.LittleEndian.PutUint32(header[12:], crc32.Checksum(header[:12], castagnoli))
}

func validHeader(data []byte) bool {
	return len(data) >= headerBytes &&
		crc32.Checksum(data[:12], castagnoli) == binary.LittleEndian.Uint32(data[12:])
}

// parseFrame returns the payload of the frame at the start of data, or what is wrong with it.
func parseFrame(data []byte, limit uint32) (payload []byte, detail string) {
	if len(data) < headerBytes {
		return nil, "header is cut short"
	}
	if v := binary.LittleEndian.Uint16(data[4:]); v != version {
		return nil, fmt.Sprintf("version %d, want %d", v, version)
	}
	if !validHeader(data) {
		return nil, "checksum of the header does not match"
	}
	size := binary.LittleEndian.Uint32(data)
	if size > limit {
		return nil, fmt.Sprintf("length %d exceeds %d", size, limit)
	}
	if uint64(len(data)) < headerBytes+uint64(size) {
		return nil, "payload is cut short"
	}
	payload = data[headerBytes : headerBytes+size]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(data[8:]) {
		return nil, "checksum of the payload does not match"
	}
	return payload, ""
}

// tornTail reports whether the unreadable frame at offset is an append that a crash interrupted. Each append is one
// frame and is synced before the next one is written, so an interrupted frame is the last one. It ends early, or a sector
// of it was not written. Any other damage may be to a frame that was synced and acknowledged. The cost is linear: only
// headers are checked.
func tornTail(data []byte, offset int) bool {
	rest := data[offset:]
	if len(rest) < headerBytes {
		return true
	}
	if !validHeader(rest) {
		return unwrittenHeader(offset, rest) && !headerFollows(rest)
	}
	if binary.LittleEndian.Uint16(rest[4:]) != version {
		return false
	}
	end := uint64(headerBytes) + uint64(binary.LittleEndian.Uint32(rest))
	if end != uint64(len(rest)) {
		// Shorter than the frame: cut short. Longer: another append followed, so this one had been synced.
		return end > uint64(len(rest))
	}
	return hasUnwrittenSector(data, offset+headerBytes)
}

// unwrittenHeader reports whether the header lies, to its end, in a sector that was not written.
func unwrittenHeader(offset int, rest []byte) bool {
	start := 0
	if toSector := (sectorBytes - offset%sectorBytes) % sectorBytes; toSector < headerBytes && !allZero(rest[:headerBytes]) {
		start = toSector
	}
	end := min(len(rest), start+sectorBytes-(offset+start)%sectorBytes)
	return start < headerBytes && allZero(rest[start:max(end, start+1)])
}

// hasUnwrittenSector looks for a zeroed sector from an offset to the end of the file.
func hasUnwrittenSector(data []byte, from int) bool {
	for start := (from + sectorBytes - 1) / sectorBytes * sectorBytes; start+sectorBytes <= len(data); start += sectorBytes {
		if allZero(data[start : start+sectorBytes]) {
			return true
		}
	}
	last := len(data) / sectorBytes * sectorBytes
	return last >= from && last < len(data) && allZero(data[last:])
}

func headerFollows(rest []byte) bool {
	for at := 1; at+headerBytes <= len(rest); at++ {
		if binary.LittleEndian.Uint16(rest[at+4:]) == version && validHeader(rest[at:]) {
			return true
		}
	}
	return false
}

func allZero(data []byte) bool {
	for _, b := range data {
		if b != 0 {
			return false
		}
	}
	return true
}
