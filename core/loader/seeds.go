package loader

import "net/netip"

// SamePortAddresses returns the addresses of processes that listen on the same port as address, on the hosts of seeds. Seeds
// that cannot be read are left out.
func SamePortAddresses(seeds []string, address string) []string {
	own, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil
	}
	var siblings []string
	for _, seed := range seeds {
		if parsed, err := netip.ParseAddrPort(seed); err == nil {
			siblings = append(siblings, netip.AddrPortFrom(parsed.Addr(), own.Port()).String())
		}
	}
	return siblings
}
