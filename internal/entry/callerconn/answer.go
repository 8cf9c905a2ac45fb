package callerconn

import (
	"net"
	"time"
)

// Answer describes an answer that isn't written to its caller yet.
type Answer struct {
	Request      string    // id of the request; empty: not known
	Began        time.Time // when Begin was called
	BodyBytes    int       // length of the answer's body; below 0: not known
	WrittenBytes int64     // bytes of the answer, its head included, that the operating system has accepted
	Detail       any       // what SetDetail recorded; nil: nothing
}

// unknownLength is the length of the body of an answer that isn't complete yet.
const unknownLength = -1

// pendingAnswer is the answer to the request that a connection handles.
type pendingAnswer struct {
	Answer
	writtenBefore int64 // bytes that were written to the connection before
	onWritten     func()
}

// Begin records that a request of a connection is to be answered. onWritten is called once: when the operating system has
// accepted the whole answer, or the connection is closed. If a handler's connection isn't a *Conn, nobody can tell when
// that is, and onWritten is called at once. Begin returns false if this instance has closed the connection: nobody receives
// the answer, and the request must not be passed on.
func Begin(nc net.Conn, request string, onWritten func()) (open bool) {
	c, ok := nc.(*Conn)
	open = !ok || c.begin(request, onWritten)
	if !ok || !open {
		onWritten()
	}
	return open
}

// SetBodyLength records the length in bytes of the body of the answer that Begin has begun on a connection.
func SetBodyLength(nc net.Conn, n int) {
	if c, ok := nc.(*Conn); ok {
		c.setBodyLength(n)
	}
}

// SetDetail records what else its handler tells of the answer that Begin has begun on a connection. It is kept until the answer is
// written, so it should not hold the request.
func SetDetail(nc net.Conn, detail any) {
	if c, ok := nc.(*Conn); ok {
		c.setDetail(detail)
	}
}

// begin records a pending answer. It returns false if the connection is closed.
func (c *Conn) begin(request string, onWritten func()) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.reading.Store(false)
	c.pending = &pendingAnswer{
		Answer:        Answer{Request: request, Began: time.Now(), BodyBytes: unknownLength},
		writtenBefore: c.written.Load(), onWritten: onWritten,
	}
	return true
}

// setBodyLength records the length of the pending answer's body.
func (c *Conn) setBodyLength(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending != nil {
		c.pending.BodyBytes = n
	}
}

// setDetail records a detail of the pending answer.
func (c *Conn) setDetail(detail any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending != nil {
		c.pending.Detail = detail
	}
}

// endAnswer ends the pending answer, if there is one. closed means that the connection can't take another one.
func (c *Conn) endAnswer(closed bool) {
	c.mu.Lock()
	p := c.pending
	c.pending, c.closed = nil, c.closed || closed
	c.mu.Unlock()
	if p != nil {
		p.onWritten()
	}
}

// unwritten returns the pending answer. ok is false if there is none.
func (c *Conn) unwritten() (a Answer, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == nil {
		return Answer{}, false
	}
	a = c.pending.Answer
	a.WrittenBytes = c.written.Load() - c.pending.writtenBefore
	return a, true
}

// Reading returns the number of connections on which a part of a request was read whose answer hasn't begun.
func (l *Listener) Reading() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for c := range l.open {
		if c.reading.Load() {
			n++
		}
	}
	return n
}

// Unwritten returns the answers that were begun on the listener's connections and aren't written yet.
func (l *Listener) Unwritten() []Answer {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []Answer
	for c := range l.open {
		if a, ok := c.unwritten(); ok {
			all = append(all, a)
		}
	}
	return all
}
