package bookkeeping

import (
	"testing"

	"pgregory.net/rapid"

	"daledyke/internal/protocol"
)

// For any number of controllers and any position of a job, each task is in exactly one block, and the numbers
// of blocks per owner differ by at most two: one from the division of the ring and one from the last, partial
// block.
func TestBlocksAreDividedEqually(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 30).Draw(t, "controllers")
		w := &Window{BlockOwners: true}
		for k := range n {
			w.Owners = append(w.Owners, string(rune('a'+k)))
		}
		s := &protocol.JobSpec{ID: rapid.StringMatching(`wk-[0-9]{1,9}`).Draw(t, "id"), Shape: protocol.Array, Tasks: rapid.IntRange(1, protocol.MaxTasks).Draw(t, "tasks")}
		j := &Job{Spec: s, RingPosition: RingPosition{Token: protocol.RingToken(s.ID), Blocks: BlockCount(s)}}
		blocks, next := map[string]int{}, 0
		for b := range j.Blocks {
			from, to := j.BlockRange(b)
			if from != next || to-from > BlockTasks {
				t.Fatalf("block %d has tasks %d to %d", b, from, to)
			}
			if next = to; from == to {
				continue
			}
			if j.BlockOf(from) != b || j.BlockOf(to-1) != b || w.OwnerOf(j, from) != w.OwnerOfBlock(j, b) {
				t.Fatalf("tasks %d to %d are not all in block %d", from, to, b)
			}
			blocks[w.OwnerOfBlock(j, b)]++
		}
		if next != s.Tasks || w.OwnerOf(j, 0) != w.Owner(j.Token) {
			t.Fatalf("%d of %d tasks are in blocks", next, s.Tasks)
		}
		least, most := j.Blocks, 0
		for _, name := range w.Owners {
			least, most = min(least, blocks[name]), max(most, blocks[name])
		}
		if most-least > 2 {
			t.Fatalf("owners have between %d and %d of %d blocks", least, most, j.Blocks)
		}
		w.BlockOwners = false
		if w.OwnerOf(j, s.Tasks-1) != w.Owner(j.Token) {
			t.Fatal("without BlockOwners, the job's owner must own every task")
		}
		// While the window is without OwnPositions, the job stays at its team's position.
		w.BlockOwners, j.TeamFallback, j.TeamToken = true, true, protocol.RingToken("team")
		if w.OwnerOf(j, 0) != w.Owner(j.TeamToken) || w.OwnerOf(j, s.Tasks-1) != w.Owner(j.TeamToken) {
			t.Fatal("the job has its own position in a window without OwnPositions")
		}
		apart := *w
		apart.OwnPositions = true
		if apart.OwnerOf(j, 0) != w.Owner(j.Token) || apart.OwnerOf(j, s.Tasks-1) != w.Owner(j.BlockToken(j.Blocks-1)) || w.SameOwners(&apart) {
			t.Fatal("the job is not at its own position in a window with OwnPositions")
		}
	})
}

func TestDoneIn(t *testing.T) {
	j := &Job{Spec: &protocol.JobSpec{Tasks: 20_000}}
	done := []int{0, 7, 8, 300, ChunkTasks - 1, ChunkTasks, ChunkTasks + 9, 2*ChunkTasks + 1}
	for c := range 3 {
		var tasks []int
		for _, i := range done {
			if i/ChunkTasks == c {
				tasks = append(tasks, i)
			}
		}
		j = j.withChunk(c, Chunk{Bits: withTaskBits(nil, tasks), Version: 1})
	}
	for _, x := range []struct{ from, to, want int }{{0, 20_000, len(done)}, {0, 8, 2}, {1, 8, 1}, {7, 9, 2}, {301, ChunkTasks, 1}, {ChunkTasks - 1, ChunkTasks + 1, 2}, {5, 5, 0}, {2*ChunkTasks + 2, 20_000, 0}} {
		if got := j.DoneIn(x.from, x.to); got != x.want {
			t.Errorf("tasks %d to %d: %d done, want %d", x.from, x.to, got, x.want)
		}
	}
}
