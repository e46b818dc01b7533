package lessor

import "sort"

// Entry is what is known of one entry process, for people.
type Entry struct {
	Name, Address, FailureDomain string
	Targets                      int
	Leaving                      bool
}

// Entries lists the entry processes that hold a lease, by name.
func (r *Lessor) Entries() []Entry {
	list := make([]Entry, 0, len(r.entries))
	for _, e := range r.entries {
		if !e.placeholder {
			list = append(list, Entry{
				Name: e.name, Address: e.address, FailureDomain: e.failureDomain, Targets: e.owned, Leaving: e.leaving,
			})
		}
	}
	sort.Slice(list, func(a, b int) bool { return list[a].Name < list[b].Name })
	return list
}
