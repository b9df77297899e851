package link

import "net"

// Reset closes c, without sending what is still unsent if c is a TCP connection.
func Reset(c net.Conn) error {
	if tcp, ok := c.(*net.TCPConn); ok {
		// An error means that the connection is closed already.
		tcp.SetLinger(0)
	}
	return c.Close()
}
