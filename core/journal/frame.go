package journal

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"google.golang.org/protobuf/proto"
)

// A frame consists of a 16-byte header and a payload. The header holds the payload length (4 bytes), the format version
// (2), reserved zeros (2), the CRC-32C of the payload (4) and the CRC-32C of the first 12 header bytes (4), all
// little-endian. The header has its own checksum so that a corrupt length is not mistaken for a frame truncated by a
// crash.
const (
	headerBytes     = 16
	formatVersion   = 2
	maxPayloadBytes = 16 << 20
	// sectorBytes is the smallest unit that a disk writes. A new sector that was not written before a power loss reads
	// as zeros.
	sectorBytes = 512
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// appendFrame appends a frame with msg as its payload to buf. limit bounds the payload in bytes.
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
	binary.LittleEndian.PutUint16(header[4:], formatVersion)
	setChecksums(header, payload)
	return buf, nil
}

// setChecksums writes the checksums of the payload and of the header into the header.
func setChecksums(header, payload []byte) {
	binary.LittleEndian.PutUint32(header[8:], crc32.Checksum(payload, castagnoli))
	binary.LittleEndian.PutUint32(header[12:], crc32.Checksum(header[:12], castagnoli))
}

// validHeader reports whether data starts with a header whose checksum matches.
func validHeader(data []byte) bool {
	return len(data) >= headerBytes &&
		crc32.Checksum(data[:12], castagnoli) == binary.LittleEndian.Uint32(data[12:])
}

// parseFrame returns the payload of the frame at the start of data. If the frame is invalid, detail says why.
func parseFrame(data []byte, limit uint32) (payload []byte, detail string) {
	if len(data) < headerBytes {
		return nil, "header is truncated"
	}
	if v := binary.LittleEndian.Uint16(data[4:]); v != formatVersion {
		return nil, fmt.Sprintf("version %d, want %d", v, formatVersion)
	}
	if !validHeader(data) {
		return nil, "checksum of the header does not match"
	}
	size := binary.LittleEndian.Uint32(data)
	if size > limit {
		return nil, fmt.Sprintf("length %d exceeds %d", size, limit)
	}
	if uint64(len(data)) < headerBytes+uint64(size) {
		return nil, "payload is truncated"
	}
	payload = data[headerBytes : headerBytes+size]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(data[8:]) {
		return nil, "checksum of the payload does not match"
	}
	return payload, ""
}

// isTornTail reports whether the invalid frame at offset is an append that a crash interrupted. Each append is synced
// before the next one is written and is one frame unless it exceeds maxPayloadBytes. An interrupted frame is therefore
// the last one, and it is truncated or has an unwritten sector. Any other corruption may affect a frame that was synced
// and acknowledged. The cost is linear in the length of data, because the search for later frames checks only headers.
func isTornTail(data []byte, offset int) bool {
	rest := data[offset:]
	if len(rest) < headerBytes {
		return true
	}
	if !validHeader(rest) {
		return hasUnwrittenHeader(offset, rest) && !validHeaderFollows(rest)
	}
	if binary.LittleEndian.Uint16(rest[4:]) != formatVersion {
		return false
	}
	end := uint64(headerBytes) + uint64(binary.LittleEndian.Uint32(rest))
	if end != uint64(len(rest)) {
		// If less data remains, the frame is truncated. If more remains, another append followed, so this one was
		// synced.
		return end > uint64(len(rest))
	}
	return hasUnwrittenSector(data, offset+headerBytes)
}

// hasUnwrittenHeader reports whether the header, or its part in the second of two sectors, lies in a sector that was
// not written.
func hasUnwrittenHeader(offset int, rest []byte) bool {
	start := 0
	if toSector := (sectorBytes - offset%sectorBytes) % sectorBytes; toSector < headerBytes &&
		!allZero(rest[:headerBytes]) {
		start = toSector
	}
	end := min(len(rest), start+sectorBytes-(offset+start)%sectorBytes)
	return start < headerBytes && allZero(rest[start:max(end, start+1)])
}

// hasUnwrittenSector reports whether a sector between offset from and the end of data is all zeros. The last sector may
// be incomplete.
func hasUnwrittenSector(data []byte, from int) bool {
	for pos := (from + sectorBytes - 1) / sectorBytes * sectorBytes; pos+sectorBytes <= len(data); pos += sectorBytes {
		if allZero(data[pos : pos+sectorBytes]) {
			return true
		}
	}
	last := len(data) / sectorBytes * sectorBytes
	return last >= from && last < len(data) && allZero(data[last:])
}

// validHeaderFollows reports whether a valid header starts anywhere after the first byte of rest.
func validHeaderFollows(rest []byte) bool {
	for offset := 1; offset+headerBytes <= len(rest); offset++ {
		if binary.LittleEndian.Uint16(rest[offset+4:]) == formatVersion && validHeader(rest[offset:]) {
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
