package frontend

// requestMemoryShare is the part of a process's memory that the bytes of unanswered requests may take. A byte
// costs about four times its size: buffers grow in steps, workers get copies, and old buffers await collection.
const requestMemoryShare = 1.0 / 8

// SetMemoryLimit sets how much memory this process may use, in bytes.
func (s *Server) SetMemoryLimit(bytes int64) {
	s.clients.SetRequestMemory(int64(requestMemoryShare * float64(bytes)))
}
