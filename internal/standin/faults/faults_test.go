package faults_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/standin/faults"
)

func TestSwitchAcceptsOnlyKnownFaults(t *testing.T) {
	is := is.New(t)
	s := faults.NewSet(faults.Hang, faults.Slow)
	is.True(s.Switch(faults.Cold, true, 0) != nil)
	is.NoErr(s.Switch(faults.Slow, true, 0))
	is.True(s.On(faults.Slow))
	is.Equal(s.Delay(faults.Slow), faults.DefaultDelay)
	is.NoErr(s.Switch(faults.Slow, true, time.Second)) // on again, with another delay
	is.Equal(s.Delay(faults.Slow), time.Second)
	is.NoErr(s.Switch(faults.Slow, false, 0))
	is.True(!s.On(faults.Slow))
	is.Equal(s.Delay(faults.Slow), time.Duration(0))
}

func TestWaitUntilOffEndsWithFaultOrConnection(t *testing.T) {
	is := is.New(t)
	s := faults.NewSet(faults.Hang)
	is.True(!s.WaitUntilOff(faults.Hang, nil)) // the fault is off
	is.NoErr(s.Switch(faults.Hang, true, 0))
	ended := make(chan bool, 2)
	connClosed := make(chan struct{})
	go func() { ended <- s.WaitUntilOff(faults.Hang, connClosed) }()
	close(connClosed)
	is.True(<-ended)
	go func() { ended <- s.WaitUntilOff(faults.Hang, nil) }()
	time.Sleep(10 * time.Millisecond) // usually enough for the goroutine to wait; the test passes either way
	is.NoErr(s.Switch(faults.Hang, false, 0))
	<-ended
}
