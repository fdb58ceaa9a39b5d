// Package gossiptest has an in-memory network for tests of package spread,
// with faults to switch on.
package gossiptest

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"

	"fescuehoist.example/mesh/gossip"
)

// Errors of the network.
var (
	ErrRefused = errors.New("nobody listens at the address")
	ErrClosed  = errors.New("the link is closed")
)

// Handler runs an accepted stream until it ends.
type Handler interface {
	Serve(ctx context.Context, link gossip.Link) error
}

// Network connects handlers by address. Cut decides which pairs of addresses
// have lost each other: dials between them hang, and messages vanish while
// their links stay open. Reorder lets messages overtake each other.
type Network struct {
	mu        sync.Mutex
	listeners map[string]listener
	cut       func(from, to string) bool
	reorder   *rand.Rand
	dials     int
	messages  int
}

type listener struct {
	ctx     context.Context
	handler Handler
	tasks   *sync.WaitGroup
}

// New returns a network without faults.
func New() *Network { return &Network{listeners: map[string]listener{}} }

// Cut sets which pairs of addresses have lost each other; nil means none.
func (n *Network) Cut(cut func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
}

// Reorder lets later messages overtake the waiting ones, by a seed.
func (n *Network) Reorder(seed uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.reorder = rand.New(rand.NewPCG(seed, 0))
}

// Counts returns the numbers of dials and of messages sent so far.
func (n *Network) Counts() (dials, messages int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dials, n.messages
}

// Listen gives streams to address to the handler until ctx ends, and returns
// when all of them have ended.
func (n *Network) Listen(ctx context.Context, address string, h Handler) {
	l := listener{ctx: ctx, handler: h, tasks: &sync.WaitGroup{}}
	n.mu.Lock()
	n.listeners[address] = l
	n.mu.Unlock()
	<-ctx.Done()
	n.mu.Lock()
	delete(n.listeners, address)
	n.mu.Unlock()
	l.tasks.Wait()
}

// Dialer returns a dialer that dials from an address.
func (n *Network) Dialer(from string) gossip.Dialer { return &dialer{network: n, from: from} }

type dialer struct {
	network *Network
	from    string
}

// Dial opens a link; to a lost address it hangs until ctx ends.
func (d *dialer) Dial(ctx context.Context, to string) (gossip.Link, error) {
	n := d.network
	n.mu.Lock()
	n.dials++
	l, ok := n.listeners[to]
	lost := n.cut != nil && n.cut(d.from, to)
	if ok && !lost {
		l.tasks.Add(1)
	}
	n.mu.Unlock()
	if lost {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if !ok {
		return nil, ErrRefused
	}
	near, far := n.pair(d.from, to)
	go func() {
		defer l.tasks.Done()
		defer far.Close()
		_ = l.handler.Serve(l.ctx, far)
	}()
	return near, nil
}

func (n *Network) pair(from, to string) (near, far *link) {
	closed := &closer{done: make(chan struct{})}
	there, back := newQueue(), newQueue()
	near = &link{network: n, from: from, to: to, out: there, in: back, closer: closed}
	far = &link{network: n, from: to, to: from, out: back, in: there, closer: closed}
	return near, far
}

type closer struct {
	once sync.Once
	done chan struct{}
}

type queue struct {
	mu       sync.Mutex
	messages []gossip.Message
	ready    chan struct{}
}

func newQueue() *queue { return &queue{ready: make(chan struct{}, 1)} }

func (q *queue) push(m gossip.Message, overtake func(waiting int) int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.messages = slices.Insert(q.messages, overtake(len(q.messages)), m)
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

func (q *queue) pop() (gossip.Message, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.messages) == 0 {
		return nil, false
	}
	m := q.messages[0]
	q.messages = q.messages[1:]
	return m, true
}

// link is one end of a stream.
type link struct {
	*closer
	network  *Network
	from, to string
	out, in  *queue
}

// Send queues a message unless the ends have lost each other.
func (l *link) Send(m gossip.Message) error {
	select {
	case <-l.done:
		return ErrClosed
	default:
	}
	n := l.network
	n.mu.Lock()
	defer n.mu.Unlock()
	n.messages++
	if n.cut != nil && n.cut(l.from, l.to) {
		return nil
	}
	l.out.push(m, n.place)
	return nil
}

// place returns where a message goes among the waiting ones. A greeting stays
// first: nothing overtakes it before the peer has taken it.
func (n *Network) place(waiting int) int {
	if n.reorder == nil || waiting < 2 {
		return waiting
	}
	return 1 + n.reorder.IntN(waiting)
}

// Recv waits for the next message.
func (l *link) Recv() (gossip.Message, error) {
	for {
		if m, ok := l.in.pop(); ok {
			return m, nil
		}
		select {
		case <-l.in.ready:
		case <-l.done:
			return nil, ErrClosed
		}
	}
}

// Close ends the stream for both ends.
func (l *link) Close() { l.once.Do(func() { close(l.done) }) }
