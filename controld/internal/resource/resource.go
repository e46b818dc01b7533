// Package resource computes with amounts of processors, memory and accelerators.
package resource

import "flamingodrift.example/core/wire"

// Vector is an amount of each resource.
type Vector struct {
	cpuMilli, memoryMB, accelerators int64
}

// New converts a message; nil gives the zero Vector.
func New(r *wire.Resources) Vector {
	return Vector{cpuMilli: r.GetCpuMilli(), memoryMB: r.GetMemoryMb(), accelerators: r.GetAccelerators()}
}

// NewMemory returns a Vector of memory alone.
func NewMemory(mb int64) Vector { return Vector{memoryMB: mb} }

// CPU returns the processors in thousandths.
func (v Vector) CPU() int64 { return v.cpuMilli }

// Memory returns the memory in megabytes.
func (v Vector) Memory() int64 { return v.memoryMB }

// Accelerators returns the number of accelerators.
func (v Vector) Accelerators() int64 { return v.accelerators }

// Add returns v + o.
func (v Vector) Add(o Vector) Vector {
	return Vector{v.cpuMilli + o.cpuMilli, v.memoryMB + o.memoryMB, v.accelerators + o.accelerators}
}

// Sub returns v - o; its amounts may be negative.
func (v Vector) Sub(o Vector) Vector {
	return Vector{v.cpuMilli - o.cpuMilli, v.memoryMB - o.memoryMB, v.accelerators - o.accelerators}
}

// Times returns v multiplied by n.
func (v Vector) Times(n int64) Vector {
	return Vector{v.cpuMilli * n, v.memoryMB * n, v.accelerators * n}
}

// FitsIn reports whether no amount of v exceeds that of o.
func (v Vector) FitsIn(o Vector) bool {
	return v.cpuMilli <= o.cpuMilli && v.memoryMB <= o.memoryMB && v.accelerators <= o.accelerators
}

// Within reports whether no amount of v exceeds the quota, where zero means no limit.
func (v Vector) Within(quota Vector) bool {
	return (quota.cpuMilli == 0 || v.cpuMilli <= quota.cpuMilli) &&
		(quota.memoryMB == 0 || v.memoryMB <= quota.memoryMB) &&
		(quota.accelerators == 0 || v.accelerators <= quota.accelerators)
}

// CopiesIn returns how many copies of v fit in o: zero if v needs a resource of which o is negative, 1<<31 if v is
// zero.
func (v Vector) CopiesIn(o Vector) int64 {
	count := int64(1) << 31
	for _, pair := range [...][2]int64{
		{v.cpuMilli, o.cpuMilli}, {v.memoryMB, o.memoryMB}, {v.accelerators, o.accelerators},
	} {
		if pair[0] > 0 {
			count = min(count, max(pair[1], 0)/pair[0])
		}
	}
	return count
}

// Max returns the maximum of v and o for each resource.
func (v Vector) Max(o Vector) Vector {
	return Vector{max(v.cpuMilli, o.cpuMilli), max(v.memoryMB, o.memoryMB), max(v.accelerators, o.accelerators)}
}

// IsZero reports whether every amount is zero.
func (v Vector) IsZero() bool { return v == Vector{} }

// Share returns the dominant share: the largest fraction of total that v takes of any resource. Resources of which
// total has none do not count.
func (v Vector) Share(total Vector) float64 {
	share := 0.0
	for _, pair := range [...][2]int64{
		{v.cpuMilli, total.cpuMilli}, {v.memoryMB, total.memoryMB}, {v.accelerators, total.accelerators},
	} {
		if pair[1] > 0 {
			share = max(share, float64(pair[0])/float64(pair[1]))
		}
	}
	return share
}

// Message is the inverse of New.
func (v Vector) Message() *wire.Resources {
	return &wire.Resources{CpuMilli: v.cpuMilli, MemoryMb: v.memoryMB, Accelerators: v.accelerators}
}

// NewCPU returns a Vector of processors alone, in thousandths.
func NewCPU(milli int64) Vector { return Vector{cpuMilli: milli} }
