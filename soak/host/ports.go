package host

import (
	"errors"
	"fmt"
	"net"
	"sync"
)

// Ports of daemons are below the system's ephemeral ports, so that outgoing
// connections do not take them. Each soak process reserves a block of ports by
// listening on the block's first port while it runs, because a daemon that is
// restarted needs the same ports.
const (
	firstPort = 12000
	lastPort  = 32000
	blockSize = 1000
)

var errNoPorts = errors.New("no free loopback port: all blocks, or all ports of the reserved block, are in use")

// ports is the block of this process.
var ports portBlock

// portBlock is a reserved block of loopback ports.
type portBlock struct {
	mu   sync.Mutex
	lock net.Listener
	next int
}

// claim reserves a block unless b has one already.
func (b *portBlock) claim() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	for first := firstPort; b.lock == nil && first < lastPort; first += blockSize {
		if ln, err := net.Listen("tcp", loopback(first)); err == nil {
			b.lock, b.next = ln, first
		}
	}
	if b.lock == nil {
		return errNoPorts
	}
	return nil
}

// freeAddress returns an address with a port of the block that is not in use.
func (b *portBlock) freeAddress() (string, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	first := b.next - b.next%blockSize
	for range blockSize - 1 {
		if b.next++; b.next == first+blockSize {
			b.next = first + 1
		}
		if ln, err := net.Listen("tcp", loopback(b.next)); err == nil {
			return loopback(b.next), ln.Close()
		}
	}
	return "", errNoPorts
}

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
