package serve

import (
	"net"
	"sync"
)

const (
	readChunk   = 32 << 10
	readBacklog = 256 << 10
)

// Conn is an accepted connection that is read ahead, so that its end is noticed while an answer is being
// written, and that can be made silent.
type Conn struct {
	net.Conn
	mu     sync.Mutex
	more   *sync.Cond
	buf    []byte
	err    error
	silent bool
	closed chan struct{}
	once   sync.Once
	gone   chan struct{}
	forget func(*Conn)
}

func newConn(c net.Conn, forget func(*Conn)) *Conn {
	conn := &Conn{Conn: c, closed: make(chan struct{}), gone: make(chan struct{}), forget: forget}
	conn.more = sync.NewCond(&conn.mu)
	return conn
}

// Gone is closed when the other end, or this one, has closed the connection.
func (c *Conn) Done() <-chan struct{} { return c.gone }

// Read gives bytes read ahead.
func (c *Conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.buf) == 0 && c.err == nil {
		c.more.Wait()
	}
	if len(c.buf) == 0 {
		return 0, c.err
	}
	n := copy(p, c.buf)
	c.buf = c.buf[n:]
	c.more.Broadcast()
	return n, nil
}

// Write sends bytes, or swallows them on a silent connection.
func (c *Conn) Write(p []byte) (int, error) {
	if !c.isSilent() {
		return c.Conn.Write(p)
	}
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	default:
		return len(p), nil
	}
}

// Close closes the connection.
func (c *Conn) Close() error {
	var err error
	c.once.Do(func() {
		close(c.closed)
		err = c.Conn.Close()
		c.forget(c)
		c.mu.Lock()
		c.more.Broadcast()
		c.mu.Unlock()
	})
	return err
}

func (c *Conn) silence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = true
	c.buf = nil
}

func (c *Conn) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

func (c *Conn) isClosed() bool {
	select {
	case <-c.closed:
		return true
	default:
		return false
	}
}

// readAhead runs until the connection ends. A silent connection swallows what arrives, its end included:
// whatever lost track of it lets neither data nor a FIN through.
func (c *Conn) readAhead() {
	chunk := make([]byte, readChunk)
	for {
		n, err := c.Conn.Read(chunk)
		if err != nil && c.isSilent() {
			<-c.closed
		}
		c.mu.Lock()
		for len(c.buf) > readBacklog && !c.silent && !c.isClosed() {
			c.more.Wait()
		}
		if !c.silent {
			c.buf = append(c.buf, chunk[:n]...)
		}
		c.err = err
		c.more.Broadcast()
		c.mu.Unlock()
		if err != nil {
			close(c.gone)
			return
		}
	}
}
