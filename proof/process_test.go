package proof

import (
	"context"
	"debug/elf"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabstack/baobabstack/internal/standin"
)

func TestBinaryLinksTheCLibrary(t *testing.T) {
	file, err := elf.Open(binary)
	assert.NilError(t, err)
	defer file.Close()
	libraries, err := file.ImportedLibraries()
	assert.NilError(t, err)
	assert.Assert(t, slices.Contains(libraries, "libc.so.6"), "%v", libraries)
}

// childrenOf returns the child processes of all threads of a process.
func childrenOf(t *testing.T, pid int) string {
	t.Helper()
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/children", pid))
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	var all strings.Builder
	for _, file := range files {
		data, err := os.ReadFile(file)
		if os.IsNotExist(err) {
			continue
		}
		assert.NilError(t, err)
		all.Write(data)
	}
	return all.String()
}

// filesOf returns the files on a disk that a process holds open; the kernel's
// own files are none.
func filesOf(t *testing.T, pid int) []string {
	t.Helper()
	links, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	assert.NilError(t, err)
	var files []string
	for _, link := range links {
		target, err := os.Readlink(link)
		if err != nil || !strings.HasPrefix(target, "/") {
			continue
		}
		if !slices.ContainsFunc([]string{"/sys/", "/proc/", "/dev/"}, func(dir string) bool { return strings.HasPrefix(target, dir) }) {
			files = append(files, target)
		}
	}
	return files
}

func TestEntryStartsNoProcessAndKeepsNoFileOpen(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	fleet := startFleet(ctx, t, standin.FleetOptions{Entries: 1})
	entry := fleet.Entries[0]
	var all sync.WaitGroup
	for range 8 {
		all.Go(func() {
			for range 100 {
				_, err := standin.Call(ctx, http.MethodGet, entry.URL()+"/stock/lookup", "", nil)
				if err != nil {
					t.Error(err)
				}
			}
		})
	}
	for range 50 {
		assert.Equal(t, childrenOf(t, entry.PID()), "")
		assert.Equal(t, len(filesOf(t, entry.PID())), 0, "%v", filesOf(t, entry.PID()))
		time.Sleep(5 * time.Millisecond)
	}
	all.Wait()
}
