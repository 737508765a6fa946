package emulator

import (
	"slices"
	"time"

	"daledyke/internal/protocol"
)

// Images that a machine fetches and caches.

type image struct {
	name string
	gb   float64
}

// fetch is an image that is being fetched, and the GB that are left.
type fetch struct {
	image
	left float64 // GB
}

// advanceFetches updates the fetches to the current time and schedules the next update. Concurrent fetches
// share the rate; a fetch that no task waits for is cancelled.
func (m *machine) advanceFetches() {
	now := time.Now()
	rate := m.typ.FetchRate * m.fetchSpeed
	if n := len(m.fetches); n > 0 && rate > 0 && !m.fetchedTo.IsZero() {
		for _, f := range m.fetches {
			f.left -= now.Sub(m.fetchedTo).Seconds() * rate / float64(n)
		}
	}
	m.fetchedTo = now
	m.fetchTimer.stop()
	wanted := map[string][]*task{}
	for _, t := range m.sortedTasks() {
		if t.State == protocol.TaskPulling {
			wanted[t.job.spec.Image] = append(wanted[t.job.spec.Image], t)
		}
	}
	var fetched []string
	const least = 1e-6
	m.fetches = slices.DeleteFunc(m.fetches, func(f *fetch) bool {
		if len(wanted[f.name]) > 0 && (f.left <= least || rate <= 0) {
			m.cacheImage(f.image)
			fetched = append(fetched, f.name)
			return true
		}
		return len(wanted[f.name]) == 0
	})
	for _, name := range fetched {
		for _, t := range wanted[name] {
			t.begin()
		}
		m.triggerReport()
	}
	if len(m.fetches) == 0 || m.frozen {
		return
	}
	left := slices.MinFunc(m.fetches, func(a, b *fetch) int {
		if a.left < b.left {
			return -1
		}
		return 1
	}).left
	m.fetchTimer = m.w.loop.after(protocol.Seconds(left*float64(len(m.fetches))/rate)+time.Millisecond, m.advanceFetches)
}

// cacheImage caches an image and evicts the least recently used images that no task uses.
func (m *machine) cacheImage(i image) {
	size := i.gb
	for _, other := range m.images {
		size += other.gb
	}
	used := map[string]bool{}
	for _, t := range m.tasks {
		if t.State != protocol.TaskExited {
			used[t.job.spec.Image] = true
		}
	}
	m.images = slices.DeleteFunc(m.images, func(other image) bool {
		if size <= m.typ.CacheGB || used[other.name] {
			return false
		}
		size -= other.gb
		return true
	})
	m.images = append(m.images, i)
}

// hasImage reports whether an image is cached, and marks it as the most recently used.
func (m *machine) hasImage(name string) bool {
	at := slices.IndexFunc(m.images, func(i image) bool { return i.name == name })
	if at < 0 {
		return false
	}
	i := m.images[at]
	m.images = append(slices.Delete(m.images, at, at+1), i)
	return true
}
