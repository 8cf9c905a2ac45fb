package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	// counterStart is where the store's revision counter starts, above 0. The 40 bits that instances keep of a revision end 200 changes later.
	counterStart  = 1<<40 - 200
	changes       = 260 // of the workers' entries, which beat
	beatInterval  = 50 * time.Millisecond
	otherTenant   = "fida11"
	applyTime     = 2 * time.Second // config_apply_ms
	movedRequests = 6
)

// playRevision lets the operator move a key from one tenant to another after the store's counter has passed 1<<40.
func playRevision(w *world, trouble bool) ([]string, error) {
	front, err := newOffsetStore(w.store.Addr(), counterStart)
	if err != nil {
		return nil, err
	}
	defer func() { _ = front.http.Close() }()
	w.storeAddr = front.addr
	w.putConfig(7, map[string]string{apiKey: tenant})
	for _, zone := range zones {
		if _, err := w.addWorker(servicePortal, zone, plainReply); err != nil {
			return nil, err
		}
	}
	if err := w.startInstances(); err != nil {
		return nil, err
	}
	if status := w.askTenant(w.instances[0], "1f00000000000000"); status != http.StatusOK {
		return nil, fmt.Errorf("first request: status %d", status)
	}
	for n := range changes {
		w.beat(w.workers[n%len(w.workers)], n)
		time.Sleep(beatInterval)
	}
	w.record.printf("the store's counter is at %d, 1<<40 is %d", counterStart+w.store.Revision("servers", w.workers[(changes-1)%len(w.workers)].id), uint64(1)<<40)
	holder := tenant
	if trouble {
		holder = otherTenant
		w.putConfig(9, map[string]string{apiKey: otherTenant})
		w.record.printf("configuration 9 is acknowledged: the key is %s's", otherTenant)
	}
	time.Sleep(applyTime + 3*time.Second)
	for n := range movedRequests {
		attempt := fmt.Sprintf("2f%014x", n)
		status := w.askTenant(w.instances[n%len(w.instances)], attempt)
		w.record.printf("%s: status %d", attempt, status)
	}
	var broken []string
	for _, k := range w.workers {
		for _, a := range k.ran() {
			if a.attempt[:2] == "2f" && a.tenant != holder {
				broken = append(broken, fmt.Sprintf("UNASKED %s: run for tenant %s; its key is %s's for over %s", a.attempt, a.tenant, holder, applyTime))
			}
		}
	}
	return broken, nil
}

// askTenant sends a request with the key and returns the status of its answer, 0 for none.
func (w *world) askTenant(i *instance, attempt string) int {
	c, err := net.DialTimeout("tcp", i.front, time.Second)
	if err != nil {
		return 0
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(12 * time.Second))
	w.record.printf("%s sent to %s", attempt, i.name)
	fmt.Fprintf(c, "GET /read/short HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 10000\r\nAuthorization: Bearer %s\r\n\r\n", host, attempt, apiKey)
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodGet})
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}
