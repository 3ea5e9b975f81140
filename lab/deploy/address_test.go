package deploy

import (
	"net"
	"strconv"
	"testing"
)

// TestFreeAddressesAreUniqueAndNotEphemeral guards against an address that another
// process gets before the intended one listens on it.
func TestFreeAddressesAreUniqueAndNotEphemeral(t *testing.T) {
	assigned := make(map[string]bool)
	for range 200 {
		address, err := freeAddress()
		if err != nil {
			t.Fatal(err)
		}
		if assigned[address] {
			t.Fatalf("%s was assigned twice", address)
		}
		assigned[address] = true
		_, port, err := net.SplitHostPort(address)
		if err != nil {
			t.Fatal(err)
		}
		if n, err := strconv.Atoi(port); err != nil || n < firstPort || n >= firstPort+portCount {
			t.Errorf("the port of %s is outside the range of started processes: the system may assign it to other processes", address)
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
	}
}
