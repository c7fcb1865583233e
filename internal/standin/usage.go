package standin

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// usage is what a process has used.
type usage struct {
	cpu time.Duration
	rss float64 // bytes
	at  time.Time
}

const clockTick = 10 * time.Millisecond // USER_HZ of Linux is 100

var errStat = errors.New("process statistics are not as expected")

func usageOf(pid int) (usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return usage{}, &Error{"usage", KindProcess, err}
	}
	_, rest, ok := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	if !ok || len(fields) < 22 {
		return usage{}, &Error{"usage", KindProcess, errStat}
	}
	user, err1 := strconv.Atoi(fields[11])
	system, err2 := strconv.Atoi(fields[12])
	pages, err3 := strconv.Atoi(fields[21])
	if err := errors.Join(err1, err2, err3); err != nil {
		return usage{}, &Error{"usage", KindProcess, err}
	}
	return usage{time.Duration(user+system) * clockTick, float64(pages * os.Getpagesize()), time.Now()}, nil
}
