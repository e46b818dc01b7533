package loader

import "net/netip"

// SamePortAddresses returns the addresses that have the IP numbers of seeds and the port of address. Invalid seeds are
// skipped; an invalid address gives nil.
func SamePortAddresses(seeds []string, address string) []string {
	own, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil
	}
	var addresses []string
	for _, seed := range seeds {
		if parsed, err := netip.ParseAddrPort(seed); err == nil {
			addresses = append(addresses, netip.AddrPortFrom(parsed.Addr(), own.Port()).String())
		}
	}
	return addresses
}
