package transfer

import (
	"net"

	"woaddyke/internal/base/oserror"
)

// retryConn is the connection between a predecessor and its successor. Each takes the end of the
// connection for the other's end, so a call that fails for want of something on this machine is repeated,
// and never taken for it.
type retryConn struct{ *net.UnixConn }

func (l *retryConn) Read(b []byte) (int, error) { return oserror.Read(l.UnixConn.Read, b) }

func (l *retryConn) Write(b []byte) (int, error) { return oserror.Write(l.UnixConn.Write, b) }

// readRights reads bytes, and the descriptors that come with the first of them.
func (l *retryConn) readRights(b, rights []byte) (n, ofRights int, err error) {
	n, err = oserror.Read(func(b []byte) (n int, err error) {
		n, ofRights, _, _, err = l.ReadMsgUnix(b, rights)
		return n, err
	}, b)
	return n, ofRights, err
}

// writeRights writes bytes, and descriptors with them.
func (l *retryConn) writeRights(b, rights []byte) error {
	_, err := oserror.Write(func(b []byte) (int, error) {
		n, _, err := l.WriteMsgUnix(b, rights, nil)
		return n, err
	}, b)
	return err
}
