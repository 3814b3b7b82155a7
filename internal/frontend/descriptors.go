package frontend

const (
	// descriptorsReserved are kept for the runtime, the listener, discovery, a file, the console and a
	// hot restart.
	descriptorsReserved = 36

	// Fractions of the other descriptors. Beyond the soft one clients' idle connections are closed for
	// new ones.
	softClientFraction = 0.3
	maxClientFraction  = 0.55
	workerFraction     = 0.45
)

// ReserveDescriptors keeps so many descriptors for what runs beside the scheduler in its process. It is called
// before Serve.
func (s *Server) ReserveDescriptors(descriptors int) {
	s.reservedDescriptors += descriptors
	s.SetDescriptorLimit(s.bootstrap.Limits.Sockets)
}

// SetDescriptorLimit sets how many descriptors this process may use.
func (s *Server) SetDescriptorLimit(descriptors int) { s.setLimits(descriptors, 0) }

// setLimits leaves descriptors for at least so many connections to workers, at clients' cost: ops that
// can't be pushed only wait.
func (s *Server) setLimits(descriptors, minWorkers int) {
	limits := splitDescriptors(descriptors-descriptorsReserved-s.reservedDescriptors, minWorkers)
	s.clients.SetLimits(limits.softClients, limits.maxClients)
	s.workers.SetMaxOpen(limits.workers)
}

// descriptorLimits are numbers of connections, each at least 1.
type descriptorLimits struct{ softClients, maxClients, workers int }

// splitDescriptors splits descriptors between clients and connections to workers.
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
