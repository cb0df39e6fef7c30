package capacity

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// cpuTime returns the processor time that a process has used, from the
// scheduler's count for each of its threads. Threads that have ended are not
// counted.
func cpuTime(pid int) (time.Duration, error) {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil {
		return 0, errors.WithStack(err)
	}
	var total time.Duration
	for _, file := range files {
		data, err := os.ReadFile(file)
		if errors.Is(err, os.ErrNotExist) {
			continue
		}
		if err != nil {
			return 0, errors.WithStack(err)
		}
		field, _, _ := strings.Cut(string(data), " ")
		ns, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			return 0, errors.Wrap(err, file)
		}
		total += time.Duration(ns)
	}
	return total, nil
}

// residentBytes returns the resident memory of a process.
func residentBytes(pid int) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, errors.WithStack(err)
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0, errors.Errorf("statm of %d has %d fields", pid, len(fields))
	}
	pages, err := strconv.ParseFloat(fields[1], 64)
	return pages * float64(os.Getpagesize()), errors.WithStack(err)
}

// metricSum returns the sum of all series of a metric at an admin listener, or
// an error if there is none.
func metricSum(ctx context.Context, admin, name string) (float64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+"/metrics", http.NoBody)
	if err != nil {
		return 0, errors.WithStack(err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, errors.WithStack(err)
	}
	defer res.Body.Close()
	sum, found := 0.0, false
	scanner := bufio.NewScanner(res.Body)
	for scanner.Scan() {
		line := scanner.Text()
		if !strings.HasPrefix(line, name+"{") && !strings.HasPrefix(line, name+" ") {
			continue
		}
		value, err := strconv.ParseFloat(line[strings.LastIndexByte(line, ' ')+1:], 64)
		if err != nil {
			return 0, errors.Wrap(err, line)
		}
		sum += value
		found = true
	}
	if !found {
		return 0, errors.Errorf("%s has no metric %s", admin, name)
	}
	return sum, errors.WithStack(scanner.Err())
}
