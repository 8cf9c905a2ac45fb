package serve

import (
	"net"
	"sync"
)

const (
	readChunkBytes   = 32 << 10  // size of one read from the network
	maxBufferedBytes = 256 << 10 // reading ahead pauses while more is buffered
)

// Conn is an accepted connection that can be made silent. It reads ahead, so that its end is detected while the handler
// writes a response.
type Conn struct {
	net.Conn
	mu        sync.Mutex
	changed   *sync.Cond    // of mu; signaled when readBuf, readErr or closed changes
	readBuf   []byte        // guarded by mu; bytes read ahead
	readErr   error         // guarded by mu; error that ended reading
	silent    bool          // guarded by mu
	closed    chan struct{} // closed by Close
	closeOnce sync.Once
	ended     chan struct{} // closed when reading has ended
	onClose   func(*Conn)   // called once, by Close
}

// newConn returns a Conn for an accepted connection. The caller starts readAhead.
func newConn(c net.Conn, onClose func(*Conn)) *Conn {
	conn := &Conn{Conn: c, closed: make(chan struct{}), ended: make(chan struct{}), onClose: onClose}
	conn.changed = sync.NewCond(&conn.mu)
	return conn
}

// Done returns a channel that is closed when either end has closed the connection. On a silent connection only Close
// closes it.
func (c *Conn) Done() <-chan struct{} { return c.ended }

// Read returns bytes read ahead, and waits for them if there are none.
func (c *Conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.readBuf) == 0 && c.readErr == nil {
		c.changed.Wait()
	}
	if len(c.readBuf) == 0 {
		return 0, c.readErr
	}
	n := copy(p, c.readBuf)
	c.readBuf = c.readBuf[n:]
	c.changed.Broadcast()
	return n, nil
}

// Write sends bytes. On a silent connection it discards them and reports success.
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
	c.closeOnce.Do(func() {
		close(c.closed)
		err = c.Conn.Close()
		c.onClose(c)
		c.mu.Lock()
		c.changed.Broadcast()
		c.mu.Unlock()
	})
	return err
}

// silence makes the connection silent for good: it discards everything in both directions.
func (c *Conn) silence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = true
	c.readBuf = nil
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

// readAhead reads into the buffer until the connection ends. On a silent connection it discards what arrives and ignores
// the peer's close, as a middlebox that lost the connection's state passes on neither data nor a FIN.
func (c *Conn) readAhead() {
	chunk := make([]byte, readChunkBytes)
	for {
		n, err := c.Conn.Read(chunk)
		if err != nil && c.isSilent() {
			<-c.closed
		}
		c.mu.Lock()
		for len(c.readBuf) > maxBufferedBytes && !c.silent && !c.isClosed() {
			c.changed.Wait()
		}
		if !c.silent {
			c.readBuf = append(c.readBuf, chunk[:n]...)
		}
		c.readErr = err
		c.changed.Broadcast()
		c.mu.Unlock()
		if err != nil {
			close(c.ended)
			return
		}
	}
}
