package starter

import "runtime"

// minProcessors is the smallest number of threads that may run Go code at a time.
const minProcessors = 2

// ReserveProcessors lets at least two threads run Go code. With one, as the runtime chooses on a host with one
// processor, a goroutine in a blocking system call such as a sync keeps all others from running until the runtime
// notices, which takes up to 10 ms. It returns the number of threads.
func ReserveProcessors() int {
	if runtime.GOMAXPROCS(0) < minProcessors {
		runtime.GOMAXPROCS(minProcessors)
	}
	return runtime.GOMAXPROCS(0)
}
