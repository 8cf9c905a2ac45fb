package accept

import "fmt"

// Failure tells whoever runs an instance that one of its listeners has ended though nobody stopped it. An instance that goes
// on without it looks alive and serves nobody. It is safe for concurrent use.
type Failure struct{ first chan error }

// NewFailure returns a Failure of listeners that all serve.
func NewFailure() *Failure { return &Failure{first: make(chan error, 1)} }

// Record records that the listener with a name has ended, with the error that its server returned. Only the first one counts.
func (f *Failure) Record(name string, err error) {
	select {
	case f.first <- fmt.Errorf("listener for %s has ended: %w", name, err):
	default:
	}
}

// First returns the channel that receives the first failure.
func (f *Failure) First() <-chan error { return f.first }
