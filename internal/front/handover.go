package front

import (
	"errors"
	"net"
	"syscall"

	"woaddyke/internal/handover"
)

// Give is what the process that takes the place of this one needs. From here on this one uses only its part of the
// descriptors.
func (f *Front) Give() (text []byte, sockets []syscall.Conn, err error) {
	at, ok := f.at.(syscall.Conn)
	if !ok {
		return nil, nil, errors.New("handover: the listening socket can't be shared")
	}
	if sockets = append(sockets, at); f.loop.peers != nil {
		sockets = append(sockets, f.loop.peers.conn)
	}
	known, err := f.roster.Known()
	if err != nil {
		return nil, nil, err
	}
	workers, _ := f.loop.pool.Counts()
	giver, heir := handover.Split(f.sheet.Limits.Sockets, f.clients.Count()+workers+spare)
	if text, err = (handover.State{Sockets: heir, Known: known, Drained: f.drain.on()}).Bytes(); err != nil {
		return nil, nil, err
	}
	f.Limit(giver)
	return text, sockets, nil
}

// Inherit has this process go on from what the one before it gave: before Serve, with its socket for peers, if it had one.
func (f *Front) Inherit(s handover.State, peers *net.UDPConn) {
	f.peersAt = peers
	f.Limit(s.Sockets)
	if s.Drained {
		f.Evacuate()
	}
}

// Heir says that a process is there to take the place of this one, or that it has ended and this one goes on alone.
func (f *Front) Heir(there bool) {
	if f.heir.Store(there); !there {
		f.Limit(f.sheet.Limits.Sockets)
	}
}

// Limit sets how many descriptors this process may use.
func (f *Front) Limit(sockets int) {
	f.clients.Limit(share(forSome, sockets), share(forClients, sockets))
	f.loop.pool.Limit(share(forWorkers, sockets))
}
