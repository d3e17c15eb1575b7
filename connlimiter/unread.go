package connlimiter

import "syscall"

// hasUnread reports whether bytes have arrived that the server has not read; false if that cannot be told.
func (c *connection) hasUnread() bool {
	inner, can := c.Conn.(syscall.Conn)
	if !can {
		return false
	}
	raw, err := inner.SyscallConn()
	if err != nil {
		return false
	}
	count := 0
	err = raw.Control(func(descriptor uintptr) { // Read would wait for a read in progress.
		var first [1]byte
		count, _, _ = syscall.Recvfrom(int(descriptor), first[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT) // Fails if nothing has arrived.
	})
	return err == nil && count > 0
}
