package returns

import (
	"container/heap"
	"container/list"

	"github.com/damaskshelf/damaskshelf/internal/fleet"
)

// owner is a workspace with promises.
type owner struct {
	workspace fleet.WorkspaceID
	promises  list.List // of *promise, oldest first
	index     int       // in owners.byCount
}

// owners are the workspaces that have promises.
type owners struct {
	byWorkspace map[fleet.WorkspaceID]*owner
	byCount     ownerHeap
}

// add adds a promise to those of a workspace.
func (os *owners) add(p *promise, workspace fleet.WorkspaceID) {
	o := os.byWorkspace[workspace]
	if o == nil {
		o = &owner{workspace: workspace}
		os.byWorkspace[workspace] = o
		heap.Push(&os.byCount, o)
	}
	p.owner, p.byOwner = o, o.promises.PushBack(p)
	heap.Fix(&os.byCount, o.index)
}

// remove removes a promise. A workspace without promises is forgotten.
func (os *owners) remove(p *promise) {
	o := p.owner
	o.promises.Remove(p.byOwner)
	if o.promises.Len() > 0 {
		heap.Fix(&os.byCount, o.index)
		return
	}
	heap.Remove(&os.byCount, o.index)
	delete(os.byWorkspace, o.workspace)
}

// victim returns the promise that a new one of the workspace replaces in a full table: the workspace's own oldest if it
// has an equal part of the table or more, else the oldest of the workspace that has most, which is more than an equal
// part.
func (os *owners) victim(workspace fleet.WorkspaceID) *promise {
	o, count := os.byWorkspace[workspace], len(os.byCount)
	if o == nil {
		count++
	}
	if o == nil || o.promises.Len() < MaxPromises/count {
		o = os.byCount[0]
	}
	return o.promises.Front().Value.(*promise)
}

// ownerHeap is a heap of workspaces, the one with most promises first.
type ownerHeap []*owner

// Len implements heap.Interface.
func (h ownerHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h ownerHeap) Less(i, k int) bool { return h[i].promises.Len() > h[k].promises.Len() }

// Swap implements heap.Interface.
func (h ownerHeap) Swap(i, k int) {
	h[i], h[k] = h[k], h[i]
	h[i].index, h[k].index = i, k
}

// Push implements heap.Interface.
func (h *ownerHeap) Push(x any) {
	o := x.(*owner)
	o.index = len(*h)
	*h = append(*h, o)
}

// Pop implements heap.Interface.
func (h *ownerHeap) Pop() any {
	last := len(*h) - 1
	o := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return o
}
