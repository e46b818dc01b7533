package lessor

import "sort"

// Entry describes one entry process for operators.
type Entry struct {
	Name, Address, FailureDomain string
	Targets                      int
	Leaving                      bool
}

// Entries returns the entry processes that have a lease, sorted by name.
func (l *Lessor) Entries() []Entry {
	list := make([]Entry, 0, len(l.entries))
	for _, e := range l.entries {
		if !e.placeholder {
			list = append(list, Entry{
				Name: e.name, Address: e.address, FailureDomain: e.failureDomain, Targets: e.owned, Leaving: e.leaving,
			})
		}
	}
	sort.Slice(list, func(a, b int) bool { return list[a].Name < list[b].Name })
	return list
}
