package upstream

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// quiet tells whether the idle connection is open with nothing to read: the other end has not closed it,
// and no late answer lies in it. It guards against sending a request on a connection that is known to be
// dead, or reading another request's answer as its own. It can't see an end that dropped the connection
// without a word.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = err == unix.EAGAIN
	})
	return err == nil && open
}
