package frontend

const (
	// baseDescriptors is the number of descriptors that every scheduler reserves: for the runtime, the
	// listener, discovery, a file, the console and a hot restart.
	baseDescriptors = 36

	// Fractions of the unreserved descriptors. Above the soft client limit, idle client connections are closed
	// to make room for new ones.
	softClientFraction = 0.3
	maxClientFraction  = 0.55
	workerFraction     = 0.45
)

// ReserveDescriptors reserves further descriptors for other parts of the process. Call it before Serve.
func (s *Server) ReserveDescriptors(descriptors int) {
	s.extraDescriptors += descriptors
	s.SetDescriptorLimit(s.bootstrap.Limits.Descriptors)
}

// SetDescriptorLimit sets how many descriptors this process may use, with the reserved ones.
func (s *Server) SetDescriptorLimit(descriptors int) { s.setLimits(descriptors, 0) }

// setLimits divides descriptors between clients and workers. At least minWorkers connections to workers
// stay possible, at the cost of clients: without connections to workers, admitted ops could only wait.
func (s *Server) setLimits(descriptors, minWorkers int) {
	limits := splitDescriptors(descriptors-baseDescriptors-s.extraDescriptors, minWorkers)
	s.clients.SetLimits(limits.softClients, limits.maxClients)
	s.workers.SetMaxOpen(limits.workers)
}

// descriptorLimits are numbers of connections, each at least 1.
type descriptorLimits struct{ softClients, maxClients, workers int }

// splitDescriptors splits the unreserved descriptors between client connections and worker connections.
func splitDescriptors(total, minWorkers int) descriptorLimits {
	fraction := func(f float64) int { return max(int(f*float64(total)), 1) }
	soft := fraction(softClientFraction)
	workers := max(fraction(workerFraction), min(minWorkers, total-soft))
	return descriptorLimits{
		softClients: max(min(soft, total-workers), 1),
		maxClients:  max(min(fraction(maxClientFraction), total-workers), 1),
		workers:     workers,
	}
}
