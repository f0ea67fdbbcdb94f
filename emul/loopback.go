package emul

import (
	"fmt"
	"os"
)

// LoopbackHost returns a loopback address that differs between the processes that run at the same time. Tests listen on
// it, so that no other process reaches them when it sends to the former user of a port, and none takes a port that they
// use again.
func LoopbackHost() string { return loopbackHost(os.Getpid()) }

// loopbackHost returns the address of the process pid, which has at most 22 bits on Linux.
func loopbackHost(pid int) string {
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>16&0x3f, pid>>8&0xff, pid&0xff)
}
