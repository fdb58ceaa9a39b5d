package target

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
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
	var f fields
	f.str(s.Name)
	f.num(uint64(len(s.Classes)))
	for i := range s.Classes {
		c := &s.Classes[i]
		f.str(c.Name)
		f.str(c.Method)
		f.str(c.Path)
		f.num(uint64(c.Rank))
		f.num(uint64(c.Latency))
		f.num(math.Float64bits(c.Success))
		f.num(math.Float64bits(c.Keep))
		f.num(uint64(c.Timeout))
		f.flag(c.Idempotent)
		f.flag(c.Internal)
		f.num(uint64(c.Notice))
	}
	return f.digest()
}

// fields collects what is hashed: each text with its length, each number with
// a fixed width.
type fields struct{ buf []byte }

func (f *fields) num(n uint64) { f.buf = binary.BigEndian.AppendUint64(f.buf, n) }

func (f *fields) str(s string) {
	f.num(uint64(len(s)))
	f.buf = append(f.buf, s...)
}

func (f *fields) flag(b bool) {
	if b {
		f.num(1)
		return
	}
	f.num(0)
}

func (f *fields) digest() Digest {
	sum := sha256.Sum256(f.buf)
	return Digest(hex.EncodeToString(sum[:]))
}

// DigestOf returns the SHA-256 over a number and texts, in hexadecimal.
func DigestOf(number uint64, texts ...string) Digest {
	size := 8
	for _, s := range texts {
		size += 8 + len(s)
	}
	f := fields{buf: make([]byte, 0, size)}
	f.num(number)
	for _, s := range texts {
		f.str(s)
	}
	return f.digest()
}
