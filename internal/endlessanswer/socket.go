package endlessanswer

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

// SocketBytes returns how many bytes the kernel may take of an answer besides what its caller reads: the largest receive
// and send buffers of a connection.
func SocketBytes() (int64, error) {
	var total int64
	for _, name := range []string{"tcp_rmem", "tcp_wmem"} {
		most, err := largestBuffer("/proc/sys/net/ipv4/" + name)
		if err != nil {
			return 0, err
		}
		total += most
	}
	return total, nil
}

// largestBuffer reads the last of the three sizes in a setting of the kernel.
func largestBuffer(path string) (int64, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return 0, fmt.Errorf("endlessanswer: size of socket buffers: %w", err)
	}
	const sizes = 3
	fields := strings.Fields(string(content))
	if len(fields) != sizes {
		return 0, fmt.Errorf("endlessanswer: %s has %d sizes, not %d", path, len(fields), sizes)
	}
	most, err := strconv.ParseInt(fields[sizes-1], 10, 64)
	if err != nil {
		return 0, fmt.Errorf("endlessanswer: %s: %w", path, err)
	}
	return most, nil
}
