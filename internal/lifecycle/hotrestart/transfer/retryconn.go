package transfer

import (
	"net"

	"woaddyke/internal/base/oserror"
)

// retryConn is the connection between a predecessor and its successor. Each process treats the end of the
// connection as the end of the other process. So a call that fails because this machine lacks a resource is
// retried and not treated as the end of the connection.
type retryConn struct{ *net.UnixConn }

func (c *retryConn) Read(b []byte) (int, error) { return oserror.Read(c.UnixConn.Read, b) }

func (c *retryConn) Write(b []byte) (int, error) { return oserror.Write(c.UnixConn.Write, b) }

// readRights reads bytes, and the control message with the descriptors that arrives with the first byte.
func (c *retryConn) readRights(b, rights []byte) (n, rightsLength int, err error) {
	n, err = oserror.Read(func(b []byte) (n int, err error) {
		n, rightsLength, _, _, err = c.ReadMsgUnix(b, rights)
		return n, err
	}, b)
	return n, rightsLength, err
}

// writeRights writes bytes, and with them a control message with descriptors.
func (c *retryConn) writeRights(b, rights []byte) error {
	_, err := oserror.Write(func(b []byte) (int, error) {
		n, _, err := c.WriteMsgUnix(b, rights, nil)
		return n, err
	}, b)
	return err
}
