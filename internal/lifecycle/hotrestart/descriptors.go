package hotrestart

// SplitDescriptors splits a scheduler's descriptors between a predecessor, whose connections have inUse
// of them, and its successor. Each gets what a process needs beside its connections. Of the rest each
// gets half, as both serve for a while. The predecessor retains more where its connections have more, up
// to three quarters: closing them would lose ops.
func SplitDescriptors(total, inUse, perProcess int) (predecessor, successor int) {
	perProcess = min(perProcess, total/2)
	rest := total - 2*perProcess
	predecessor = perProcess + min(max(inUse, rest/2), rest*3/4)
	return predecessor, total - predecessor
}
