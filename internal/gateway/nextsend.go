package gateway

// nextSend is what a watchdog has obtained for the send that follows the one that it ended.
type nextSend struct {
	giveBack func() // returns the retry
	grant    Grant  // nil: it was refused, or is in use
}

// drop returns everything for a send that does not follow.
func (n *nextSend) drop() {
	if n.grant != nil {
		n.grant.Release(NotSent, "")
	}
	n.giveBack()
}

// place returns the grant for the next send: the one that the watchdog has obtained, or a new one.
func (l *lifecycle) place(q PlacementRequest) (Grant, error) {
	if l.prepaid == nil || l.prepaid.grant == nil {
		return l.g.deps.Placer.Place(l.ctx, q)
	}
	grant := l.prepaid.grant
	l.prepaid.grant = nil
	return grant, nil
}

// takeRetry consumes the retry for the next send, unless the watchdog already has.
func (l *lifecycle) takeRetry() (giveBack func(), ok bool) {
	if l.prepaid == nil {
		return l.g.deps.RetryBudget.Take(l.r.service)
	}
	giveBack, l.prepaid = l.prepaid.giveBack, nil
	return giveBack, true
}

// stopWatchdog stops the watchdog of the current send and keeps what it has obtained for the next one.
func (l *lifecycle) stopWatchdog() {
	if next := l.watchdog.stop(); next != nil {
		l.returnPrepaid() // obtained for a send that did not reach its upstream
		l.prepaid = next
	}
}

// returnPrepaid returns what was obtained for a send that does not follow.
func (l *lifecycle) returnPrepaid() {
	if l.prepaid != nil {
		l.prepaid.drop()
		l.prepaid = nil
	}
}
