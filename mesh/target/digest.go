package target

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"math"
)

// Digest identifies the content of a service's configuration or of a table.
type Digest string

// Valid reports whether d is a SHA-256 hash in lower-case hexadecimal.
func (d Digest) Valid() bool {
	if len(d) != hex.EncodedLen(sha256.Size) {
		return false
	}
	for i := 0; i < len(d); i++ {
		if c := d[i]; (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return true
}

// Digest returns the SHA-256 hash of the service's fields in hexadecimal. It
// does not depend on the encoding of messages.
func (s *Service) Digest() Digest {
	h := NewHasher()
	h.WriteString(s.Name)
	h.WriteUint64(uint64(len(s.Classes)))
	for i := range s.Classes {
		c := &s.Classes[i]
		h.WriteString(c.Name)
		h.WriteString(c.Method)
		h.WriteString(c.Path)
		h.WriteUint64(uint64(c.Rank))
		h.WriteUint64(uint64(c.Latency))
		h.WriteUint64(math.Float64bits(c.Success))
		h.WriteUint64(math.Float64bits(c.GuaranteedShare))
		h.WriteUint64(uint64(c.Timeout))
		h.writeBool(c.Idempotent)
		h.writeBool(c.Internal)
		h.WriteUint64(uint64(c.Notice))
		h.writeSplit(c)
		if c.Fault != "" {
			h.WriteString(c.Fault)
		}
	}
	return h.Digest()
}

// writeSplit adds the attempts, the parts and whether the class is public only if it
// declares any of them, so that classes without them have the same digests as in earlier
// releases.
func (h *Hasher) writeSplit(c *Class) {
	if c.Attempts == 0 && len(c.Parts) == 0 && !c.Public {
		return
	}
	h.WriteUint64(uint64(c.Attempts))
	h.WriteUint64(uint64(len(c.Parts)))
	for _, p := range c.Parts {
		h.WriteString(p.Service)
		h.WriteUint64(uint64(p.Weight))
	}
	if c.Public {
		h.writeBool(true)
	}
}

// hasherBufferSize is the number of bytes that a Hasher buffers before it
// hashes them.
const hasherBufferSize = 4 << 10

// Hasher computes a digest of strings and numbers. Each string is preceded by
// its length and each number has a fixed width, so different sequences never
// hash the same bytes.
type Hasher struct {
	hash hash.Hash
	buf  []byte
}

// NewHasher returns an empty Hasher.
func NewHasher() *Hasher { return &Hasher{hash: sha256.New(), buf: make([]byte, 0, hasherBufferSize)} }

// WriteUint64 adds a number as 8 bytes.
func (h *Hasher) WriteUint64(n uint64) {
	h.reserve(8)
	h.buf = binary.BigEndian.AppendUint64(h.buf, n)
}

// WriteString adds the length of the string and the string.
func (h *Hasher) WriteString(text string) {
	h.WriteUint64(uint64(len(text)))
	h.reserve(len(text))
	h.buf = append(h.buf, text...)
}

func (h *Hasher) writeBool(b bool) {
	if b {
		h.WriteUint64(1)
		return
	}
	h.WriteUint64(0)
}

// reserve hashes the buffered bytes if size more bytes do not fit into the
// buffer.
func (h *Hasher) reserve(size int) {
	if len(h.buf)+size <= hasherBufferSize {
		return
	}
	h.hash.Write(h.buf)
	h.buf = h.buf[:0]
}

// Digest returns the SHA-256 hash of everything added so far, in hexadecimal.
func (h *Hasher) Digest() Digest {
	h.hash.Write(h.buf)
	h.buf = h.buf[:0]
	return Digest(hex.EncodeToString(h.hash.Sum(nil)))
}
