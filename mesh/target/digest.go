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

// Digest returns the SHA-256 of the service's fields, in hexadecimal. It does
// not depend on any encoding of messages.
func (s *Service) Digest() Digest {
	w := fieldWriter{sum: sha256.New()}
	w.str(s.Name)
	w.num(uint64(len(s.Classes)))
	for i := range s.Classes {
		c := &s.Classes[i]
		w.str(c.Name)
		w.str(c.Method)
		w.str(c.Path)
		w.num(uint64(c.Rank))
		w.num(uint64(c.Latency))
		w.num(math.Float64bits(c.Success))
		w.num(math.Float64bits(c.Keep))
		w.num(uint64(c.Timeout))
		w.flag(c.Idempotent)
		w.flag(c.Internal)
		w.num(uint64(c.Notice))
	}
	return Digest(hex.EncodeToString(w.sum.Sum(nil)))
}

// fieldWriter feeds fields to a hash, each with its length or a fixed width.
type fieldWriter struct{ sum hash.Hash }

func (w *fieldWriter) num(n uint64) {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], n)
	w.sum.Write(b[:])
}

func (w *fieldWriter) str(s string) {
	w.num(uint64(len(s)))
	w.sum.Write([]byte(s))
}

func (w *fieldWriter) flag(b bool) {
	if b {
		w.num(1)
		return
	}
	w.num(0)
}

// DigestOf returns the SHA-256 over strings and numbers, in hexadecimal.
func DigestOf(number uint64, texts ...string) Digest {
	w := fieldWriter{sum: sha256.New()}
	w.num(number)
	for _, s := range texts {
		w.str(s)
	}
	return Digest(hex.EncodeToString(w.sum.Sum(nil)))
}
