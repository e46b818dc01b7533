// Package resource counts processors, memory and accelerators.
package resource

import "flamingodrift.example/core/wire"

// Vector is an amount of each resource: thousandths of a processor, megabytes, accelerators.
type Vector struct {
	cpu, memory, accelerators int64
}

// New returns the amounts of a message; nil is zero.
func New(r *wire.Resources) Vector {
	return Vector{cpu: r.GetCpuMilli(), memory: r.GetMemoryMb(), accelerators: r.GetAccelerators()}
}

// NewMemory returns an amount of memory in megabytes.
func NewMemory(mb int64) Vector { return Vector{memory: mb} }

// CPU returns thousandths of a processor.
func (v Vector) CPU() int64 { return v.cpu }

// Memory returns megabytes.
func (v Vector) Memory() int64 { return v.memory }

// Accelerators returns the number of accelerators.
func (v Vector) Accelerators() int64 { return v.accelerators }

// Add returns the sum.
func (v Vector) Add(o Vector) Vector {
	return Vector{v.cpu + o.cpu, v.memory + o.memory, v.accelerators + o.accelerators}
}

// Sub returns the difference, which may be negative.
func (v Vector) Sub(o Vector) Vector {
	return Vector{v.cpu - o.cpu, v.memory - o.memory, v.accelerators - o.accelerators}
}

// Times returns the vector n times.
func (v Vector) Times(n int64) Vector {
	return Vector{v.cpu * n, v.memory * n, v.accelerators * n}
}

// FitsIn reports whether no amount is above that of o.
func (v Vector) FitsIn(o Vector) bool {
	return v.cpu <= o.cpu && v.memory <= o.memory && v.accelerators <= o.accelerators
}

// Within reports whether no amount is above a quota, in which zero means no limit.
func (v Vector) Within(quota Vector) bool {
	return (quota.cpu == 0 || v.cpu <= quota.cpu) && (quota.memory == 0 || v.memory <= quota.memory) &&
		(quota.accelerators == 0 || v.accelerators <= quota.accelerators)
}

// CopiesIn returns how many times v fits in o; zero when o is negative, and a large number when v is zero.
func (v Vector) CopiesIn(o Vector) int64 {
	count := int64(1) << 31
	for _, pair := range [...][2]int64{{v.cpu, o.cpu}, {v.memory, o.memory}, {v.accelerators, o.accelerators}} {
		if pair[0] > 0 {
			count = min(count, max(pair[1], 0)/pair[0])
		}
	}
	return count
}

// Max returns the larger amount of each resource.
func (v Vector) Max(o Vector) Vector {
	return Vector{max(v.cpu, o.cpu), max(v.memory, o.memory), max(v.accelerators, o.accelerators)}
}

// IsZero reports whether every amount is zero.
func (v Vector) IsZero() bool { return v == Vector{} }

// Share returns the largest fraction that v takes of total over all resources, from 0 up.
func (v Vector) Share(total Vector) float64 {
	share := 0.0
	for _, pair := range [...][2]int64{
		{v.cpu, total.cpu}, {v.memory, total.memory}, {v.accelerators, total.accelerators},
	} {
		if pair[1] > 0 {
			share = max(share, float64(pair[0])/float64(pair[1]))
		}
	}
	return share
}

// Message returns the amounts as a message.
func (v Vector) Message() *wire.Resources {
	return &wire.Resources{CpuMilli: v.cpu, MemoryMb: v.memory, Accelerators: v.accelerators}
}

// NewCPU returns an amount of thousandths of a processor.
func NewCPU(milli int64) Vector { return Vector{cpu: milli} }
