package gateway

import (
	"sync"

	"github.com/baobabstack/baobabstack/internal/memory"
)

// answerMemoryShare is the share of the VM's memory that servers' answers may use until
// they are passed on. A buffer that grows is copied, which takes as much again.
const answerMemoryShare = 0.15

// maxAnswersInMemory is how many answers of the largest size fit into that memory. A
// server that sends without end can't use it up alone.
const maxAnswersInMemory = 4

// answerMemoryBytes returns the memory for servers' answers on a VM with the given MB.
func answerMemoryBytes(vmMB int) int { return int(answerMemoryShare * float64(vmMB) * (1 << 20)) }

// maxAnswerBytes returns the largest body of an answer: limit, or less on a small VM.
func maxAnswerBytes(limit, vmMB int) int {
	return min(limit, answerMemoryBytes(vmMB)/maxAnswersInMemory)
}

// answerMemory counts the memory of the answers to one request. It is safe for concurrent
// use.
type answerMemory struct {
	budget *memory.Budget

	mu       sync.Mutex
	used     int
	released bool
}

// reserve counts bytes for an answer and reports whether the budget allows them. After
// release it allows none: a send that lost against another one may still be reading.
func (m *answerMemory) reserve(bytes int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.released || !m.budget.Reserve(bytes) {
		return false
	}
	m.used += bytes
	return true
}

// release returns all that was counted to the budget.
func (m *answerMemory) release() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget.Release(m.used)
	m.used, m.released = 0, true
}
