package standin

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// processUsage is the resource usage of a process at a point in time.
type processUsage struct {
	cpu time.Duration
	rss float64 // bytes
	at  time.Time
}

const clockTick = 10 * time.Millisecond // of processor times in /proc; USER_HZ of Linux is 100

var errStat = errors.New("unexpected format of /proc/PID/stat")

func readUsage(pid int) (processUsage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return processUsage{}, &Error{"read process usage", KindProcess, err}
	}
	_, rest, ok := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	if !ok || len(fields) < 22 {
		return processUsage{}, &Error{"read process usage", KindProcess, errStat}
	}
	user, err1 := strconv.Atoi(fields[11])
	system, err2 := strconv.Atoi(fields[12])
	pages, err3 := strconv.Atoi(fields[21])
	if err := errors.Join(err1, err2, err3); err != nil {
		return processUsage{}, &Error{"read process usage", KindProcess, err}
	}
	return processUsage{time.Duration(user+system) * clockTick, float64(pages * os.Getpagesize()), time.Now()}, nil
}
