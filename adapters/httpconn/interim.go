package httpconn

import "time"

// interimAnswer tells the caller that the request is still being processed.
const interimAnswer = "HTTP/1.1 102 Processing\r\n\r\n"

// startProgress sends interim answers until the returned function is called. An
// interim answer is only sent while x is at the head of the queue.
func (n *session) startProgress(x *exchange) func() {
	if n.server.progressInterval == 0 {
		return func() {}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	var timer *time.Timer
	timer = time.AfterFunc(n.server.progressInterval, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		if len(n.queue) == 0 || n.queue[0] != x || x.complete {
			return
		}
		if n.writing {
			timer.Reset(n.server.progressInterval)
			return
		}
		if n.writeInterim() == nil {
			timer.Reset(n.server.progressInterval)
		}
	})
	return func() { timer.Stop() }
}

// writeInterim writes an interim answer and then the answers that were completed
// meanwhile.
func (n *session) writeInterim() error {
	n.writing = true
	n.mu.Unlock()
	_, err := n.Write([]byte(interimAnswer))
	n.mu.Lock()
	n.writeComplete()
	return err
}
