package guard

import (
	"math"

	"golang.org/x/sys/unix"
)

const (
	// connMemoryShare is the part of the VM's memory, one in so many, that the connections of callers may take.
	connMemoryShare = 4
	// connMemory is the memory of a connection without a request: buffers and stack of net/http, and freeHeaderMemory.
	connMemory = 16<<10 + freeHeaderMemory
	// headerMemoryShare is the part of the VM's memory, one in so many, for the headers that are being read.
	headerMemoryShare = 16
	// requestMemoryShare is the part of the VM's memory, one in so many, that requests in progress may take. A body of the
	// maximum size has to fit in beside the buffer that it outgrows.
	requestMemoryShare = 10
	// reservedFilesShare is the part of the descriptors, one in so many, for links to known daemons, the store, the
	// backend server and the process itself.
	reservedFilesShare = 4
	// unidentifiedFilesShare is the part of the descriptors, one in so many, for links whose daemon is not known yet.
	unidentifiedFilesShare = 8
	// otherFilesShare is the part of the descriptors, one in so many, for each listener that is not for callers, up to
	// maxOtherConns connections.
	otherFilesShare = 16
	maxOtherConns   = 32
	// minConns is the least limit of connections.
	minConns = 4
)

// VM is what the process may take of its VM.
type VM struct {
	Memory int64 // bytes; zero: unknown
	Files  int64 // descriptors; zero: the limit of the process
	// OtherListeners is the number of listeners that are not for callers nor other daemons.
	OtherListeners int64
}

// files returns the number of descriptors that the process may open; zero: unknown.
func (v VM) files() int64 {
	most := v.Files
	var r unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &r) == nil && r.Cur < math.MaxInt32 && (most == 0 || int64(r.Cur) < most) {
		most = int64(r.Cur)
	}
	return most
}

// RequestMemory limits the memory of requests in progress, in bytes; math.MaxInt64: no limit.
func (v VM) RequestMemory() int64 {
	if v.Memory > 0 {
		return v.Memory / requestMemoryShare
	}
	return math.MaxInt64
}

// OtherConns limits the connections of a listener that is not for callers.
func (v VM) OtherConns() int64 {
	if n := v.files(); n > 0 {
		return max(minConns, min(maxOtherConns, n/otherFilesShare))
	}
	return maxOtherConns
}

// UnidentifiedLinks limits the links whose daemon is not known yet; zero: no limit.
func (v VM) UnidentifiedLinks() int64 {
	if n := v.files(); n > 0 {
		return max(minConns, n/unidentifiedFilesShare)
	}
	return 0
}

// CallerConns limits the connections of callers, by descriptors and memory.
func (v VM) CallerConns() int64 {
	most := int64(math.MaxInt64)
	if n := v.files(); n > 0 {
		most = n - n/reservedFilesShare - v.UnidentifiedLinks() - v.OtherListeners*v.OtherConns()
	}
	if v.Memory > 0 {
		most = min(most, v.Memory/connMemoryShare/connMemory)
	}
	return max(minConns, most)
}

// HeaderMemory limits the memory of the headers, or of the frames of unidentified links, that are being read, in bytes;
// math.MaxInt64: no limit.
func (v VM) HeaderMemory() int64 {
	if v.Memory > 0 {
		return v.Memory / headerMemoryShare
	}
	return math.MaxInt64
}
