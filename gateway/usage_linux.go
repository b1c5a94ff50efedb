package gateway

import (
	"os"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// processUsage measures this process.
type processUsage struct{}

// ProcessorTime implements UsageReader.
func (processUsage) ProcessorTime() (time.Duration, error) {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		return 0, errors.Wrap(err, "getrusage")
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}

const descriptorDirectory = "/proc/self/fd"

// OpenDescriptors implements UsageReader. Since Linux 6.2 the directory's size is the number of its entries;
// before, it is 0, and the entries are read.
func (processUsage) OpenDescriptors() (int, error) {
	info, err := os.Stat(descriptorDirectory)
	if err != nil {
		return 0, errors.WithStack(err)
	}
	if n := info.Size(); n > 0 {
		return int(n), nil
	}
	directory, err := os.Open(descriptorDirectory)
	if err != nil {
		return 0, errors.WithStack(err)
	}
	defer func() { _ = directory.Close() }()
	names, err := directory.Readdirnames(-1)
	return len(names), errors.WithStack(err)
}
