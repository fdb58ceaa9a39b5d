package target

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"math"
)

// Digest identifies the content of a service's configuration.
type Digest string

// Valid reports whether d has the form of a digest.
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

// Digest returns the SHA-256 of the service's fields, in hexadecimal. It does
// not depend on any encoding of messages.
func (s *Service) Digest() Digest {
	sum := NewHasher()
	sum.Text(s.Name)
	sum.Number(uint64(len(s.Classes)))
	for i := range s.Classes {
		c := &s.Classes[i]
		sum.Text(c.Name)
		sum.Text(c.Method)
		sum.Text(c.Path)
		sum.Number(uint64(c.Rank))
		sum.Number(uint64(c.Latency))
		sum.Number(math.Float64bits(c.Success))
		sum.Number(math.Float64bits(c.GuaranteedShare))
		sum.Number(uint64(c.Timeout))
		sum.flag(c.Idempotent)
		sum.flag(c.Internal)
		sum.Number(uint64(c.Notice))
		sum.split(c)
	}
	return sum.Digest()
}

// split adds the attempts and parts of a class that declares any, so that the
// digests of classes without them are those of earlier releases.
func (s *Hasher) split(c *Class) {
	if c.Attempts == 0 && len(c.Parts) == 0 {
		return
	}
	s.Number(uint64(c.Attempts))
	s.Number(uint64(len(c.Parts)))
	for _, p := range c.Parts {
		s.Text(p.Service)
		s.Number(uint64(p.Weight))
	}
}

// sumBuffer is the number of bytes that a sum collects before it hashes them.
const sumBuffer = 4 << 10

// Hasher computes a digest over texts and numbers, each text with its length and
// each number with a fixed width.
type Hasher struct {
	hash hash.Hash
	buf  []byte
}

// NewHasher returns a sum over nothing.
func NewHasher() *Hasher { return &Hasher{hash: sha256.New(), buf: make([]byte, 0, sumBuffer)} }

// Number adds a number.
func (s *Hasher) Number(n uint64) {
	s.room(8)
	s.buf = binary.BigEndian.AppendUint64(s.buf, n)
}

// Text adds a text.
func (s *Hasher) Text(text string) {
	s.Number(uint64(len(text)))
	s.room(len(text))
	s.buf = append(s.buf, text...)
}

func (s *Hasher) flag(b bool) {
	if b {
		s.Number(1)
		return
	}
	s.Number(0)
}

// room hashes what was collected if size more bytes do not fit.
func (s *Hasher) room(size int) {
	if len(s.buf)+size <= sumBuffer {
		return
	}
	s.hash.Write(s.buf)
	s.buf = s.buf[:0]
}

// Digest returns the SHA-256 of all that was added, in hexadecimal.
func (s *Hasher) Digest() Digest {
	s.hash.Write(s.buf)
	s.buf = s.buf[:0]
	return Digest(hex.EncodeToString(s.hash.Sum(nil)))
}
