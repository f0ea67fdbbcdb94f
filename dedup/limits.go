package dedup

import "time"

const (
	// MaxBody is the maximum size in bytes of an answer's body to be stored.
	MaxBody = 4 << 10
	// MaxKey is the maximum length of an idempotency key in bytes.
	MaxKey = 255
	// MaxEntries is the maximum number of records in a table. 147 calls/s per daemon, all
	// with keys, make 88,000 records in 10 min.
	MaxEntries = 100_000
	// MaxBytes limits the estimated memory of the records to half of the daemon's 32 MB.
	MaxBytes = 16 << 20

	// entryBytes estimates the memory of a record without its key and answer.
	entryBytes = 240
	// maxWait limits how long a claim waits for a running call, because it occupies one of
	// the connection's concurrent requests. The entry daemon then retries.
	maxWait = 500 * time.Millisecond
	// maxWaiting is the maximum number of claims that wait in a table at the same time.
	maxWaiting = 256
	// chunkBytes limits the estimated size of the records in one message.
	chunkBytes = 1 << 20
	// scanInterval is the interval between checks for list changes and expired records.
	scanInterval = 200 * time.Millisecond
	// callTimeout is the timeout of one request to another daemon.
	callTimeout = time.Second
)
