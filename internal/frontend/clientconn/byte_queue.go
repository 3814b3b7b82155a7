package clientconn

// queueChunkBytes is the size of the pieces in which a byteQueue allocates memory.
const queueChunkBytes = 16 << 10

// byteQueue is a queue of bytes. Memory is freed as bytes are read, and growing it copies nothing. The zero value
// is empty.
type byteQueue struct {
	chunks [][]byte
	length int
}

func (q *byteQueue) write(b []byte) {
	q.length += len(b)
	for len(b) > 0 {
		last := len(q.chunks) - 1
		if last < 0 || len(q.chunks[last]) == cap(q.chunks[last]) {
			q.chunks = append(q.chunks, make([]byte, 0, queueChunkBytes))
			last++
		}
		chunk := q.chunks[last]
		n := min(len(b), cap(chunk)-len(chunk))
		q.chunks[last] = append(chunk, b[:n]...)
		b = b[n:]
	}
}

// read moves the oldest bytes to b, as many as there are and fit, and returns their number.
func (q *byteQueue) read(b []byte) (n int) {
	for n < len(b) && len(q.chunks) > 0 {
		k := copy(b[n:], q.chunks[0])
		n += k
		if q.chunks[0] = q.chunks[0][k:]; len(q.chunks[0]) == 0 {
			q.chunks[0] = nil // lets the garbage collector free it
			q.chunks = q.chunks[1:]
		}
	}
	q.length -= n
	return n
}
