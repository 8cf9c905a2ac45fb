package upstream

import (
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"
)

// Unread shows what has arrived on the connection of one exchange and has not been read yet. The zero value shows nothing. It
// is safe for concurrent use.
type Unread struct{ conn atomic.Pointer[conn] }

// Look returns the bytes that lie unread, as far as they are known, and whether a read would return at once. That is also the
// case at the end of a connection, with 0 bytes.
func (u *Unread) Look() (bytes int, waiting bool) {
	c := u.conn.Load()
	if c == nil {
		return 0, false
	}
	if sc, ok := c.Conn.(syscall.Conn); ok {
		return lookAtSocket(sc)
	}
	return 0, false
}

// lookAtSocket is Look for a socket.
func lookAtSocket(c syscall.Conn) (bytes int, waiting bool) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, false
	}
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		waiting = err != unix.EAGAIN
		bytes, _ = unix.IoctlGetInt(int(fd), unix.SIOCINQ) // 0 if the system doesn't tell
	})
	return bytes, waiting && err == nil
}
