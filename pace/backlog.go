package pace

// backlog counts bytes of large answers that wait, by rank.
type backlog map[int]int64

func (b backlog) add(rank, n int) {
	if b[rank] += int64(n); b[rank] <= 0 {
		delete(b, rank)
	}
}

// until returns the bytes of the rank and of more urgent ones.
func (b backlog) until(rank int) int64 {
	sum := int64(0)
	for r, n := range b {
		if r <= rank {
			sum += n
		}
	}
	return sum
}
