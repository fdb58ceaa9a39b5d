// Package gossiptest provides an in-memory network with fault injection for tests
// of package gossip.
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
	ErrRefused = errors.New("no listener at the address")
	ErrClosed  = errors.New("link is closed")
)

// Handler runs an accepted stream until it ends.
type Handler interface {
	Serve(ctx context.Context, link gossip.Link) error
}

// Network connects handlers by address. SetPartition selects pairs of addresses
// that cannot reach each other: dials between them block, and messages are lost
// while their links stay open. Reorder delivers messages out of order.
type Network struct {
	mu          sync.Mutex
	listeners   map[string]listener
	partitioned func(from, to string) bool
	observer    func(from, to string, m gossip.Message)
	reorderRand *rand.Rand
	dials       int
	messages    int
}

type listener struct {
	ctx     context.Context
	handler Handler
	tasks   *sync.WaitGroup
}

// New returns a network without faults.
func New() *Network { return &Network{listeners: map[string]listener{}} }

// SetPartition sets which pairs of addresses cannot reach each other; nil means
// none.
func (n *Network) SetPartition(partitioned func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned = partitioned
}

// SetObserver sets a function that is called, one call at a time, for each message that
// is sent.
func (n *Network) SetObserver(observe func(from, to string, m gossip.Message)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.observer = observe
}

// Reorder lets messages overtake earlier ones that are still queued, at random
// with the given seed.
func (n *Network) Reorder(seed uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.reorderRand = rand.New(rand.NewPCG(seed, 0))
}

// Counts returns the numbers of dials and of messages sent so far.
func (n *Network) Counts() (dials, messages int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dials, n.messages
}

// Listen passes streams to address to the handler until ctx ends, and returns
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

// Dial opens a link. Across a partition it blocks until ctx ends and returns its
// error; without a listener it returns ErrRefused.
func (d *dialer) Dial(ctx context.Context, to string) (gossip.Link, error) {
	n := d.network
	n.mu.Lock()
	n.dials++
	l, ok := n.listeners[to]
	partitioned := n.partitioned != nil && n.partitioned(d.from, to)
	if ok && !partitioned {
		l.tasks.Add(1)
	}
	n.mu.Unlock()
	if partitioned {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if !ok {
		return nil, ErrRefused
	}
	near, far := n.newLinkPair(d.from, to)
	go func() {
		defer l.tasks.Done()
		defer far.Close()
		_ = l.handler.Serve(l.ctx, far)
	}()
	return near, nil
}

func (n *Network) newLinkPair(from, to string) (near, far *link) {
	closed := &closer{done: make(chan struct{})}
	toFar, toNear := newQueue(), newQueue()
	near = &link{network: n, from: from, to: to, out: toFar, in: toNear, closer: closed}
	far = &link{network: n, from: to, to: from, out: toNear, in: toFar, closer: closed}
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

func (q *queue) push(m gossip.Message, position func(waiting int) int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.messages = slices.Insert(q.messages, position(len(q.messages)), m)
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

// Send queues a message, or drops it if the ends are partitioned. It returns
// ErrClosed if the link is closed.
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
	if n.observer != nil {
		n.observer(l.from, l.to, m)
	}
	if n.partitioned != nil && n.partitioned(l.from, l.to) {
		return nil
	}
	l.out.push(m, n.insertPosition)
	return nil
}

// insertPosition returns the index at which a message is queued among the waiting
// ones. The first message, the hello, is never overtaken while it is queued.
func (n *Network) insertPosition(waiting int) int {
	if n.reorderRand == nil || waiting < 2 {
		return waiting
	}
	return 1 + n.reorderRand.IntN(waiting)
}

// Recv waits for the next message. It returns ErrClosed once the link is closed
// and its queue is empty.
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

// Close closes both ends of the stream.
func (l *link) Close() { l.once.Do(func() { close(l.done) }) }
