package hotrestart

// SplitDescriptors splits a scheduler's descriptors between a predecessor and its successor. inUse is the
// number of descriptors that the predecessor's connections use, and perProcess the number that each process
// needs apart from its connections. Each process gets perProcess descriptors and half of the rest, as both
// serve for a while. If the predecessor's connections use more than half of the rest, it gets that many, up
// to three quarters of the rest: closing the connections would lose ops.
func SplitDescriptors(total, inUse, perProcess int) (predecessor, successor int) {
	perProcess = min(perProcess, total/2)
	rest := total - 2*perProcess
	predecessor = perProcess + min(max(inUse, rest/2), rest*3/4)
	return predecessor, total - predecessor
}
