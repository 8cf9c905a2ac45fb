package upstream

import (
	"errors"
	"syscall"

	"golang.org/x/sys/unix"
)

// openAndEmpty reports whether the idle connection is open and has no data to read: the upstream has not closed it,
// and it holds no late answer. This guards against sending a request on a dead connection, and against reading the
// answer to another request. It can't detect a peer that dropped the connection without closing it.
func (c *conn) openAndEmpty() bool {
	open, unread := c.peek()
	return open && !unread
}

// peek reports whether the idle connection is open as far as is known, and whether it has data to read.
func (c *conn) peek() (open, unread bool) {
	if c.reader.Buffered() > 0 {
		return true, true
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true, false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return errors.Is(err, errors.ErrUnsupported), false
	}
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		unread = err == nil && n > 0
		open = unread || err == unix.EAGAIN
	})
	return err == nil && open, unread
}
