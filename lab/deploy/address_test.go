package deploy

import (
	"net"
	"strconv"
	"testing"
)

func TestFreeAddressesAreNotTakenByOthers(t *testing.T) {
	given := make(map[string]bool)
	for range 200 {
		address, err := freeAddress()
		if err != nil {
			t.Fatal(err)
		}
		if given[address] {
			t.Fatalf("%s was given twice", address)
		}
		given[address] = true
		_, port, err := net.SplitHostPort(address)
		if err != nil {
			t.Fatal(err)
		}
		if n, err := strconv.Atoi(port); err != nil || n < firstPort || n >= firstPort+portCount {
			t.Errorf("%s lies among the ports that the system gives to others", address)
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
	}
}
