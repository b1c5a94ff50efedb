package progress

import (
	"context"
	"os"
	"os/exec"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

// suspend suspends this process.
func suspend(t *testing.T, d time.Duration) {
	t.Helper()
	pid, seconds := strconv.Itoa(os.Getpid()), strconv.FormatFloat(d.Seconds(), 'f', 1, 64)
	command := exec.Command("/bin/sh", "-c", "kill -STOP "+pid+"; sleep "+seconds+"; kill -CONT "+pid)
	is.New(t).NoErr(command.Run())
}

// Guards against a time limit that counts the time in which this process was suspended: an answer that has arrived by
// then would not be read.
func TestARunningTimeoutDoesNotCountASuspension(t *testing.T) {
	is := is.New(t)
	ctx, cancel := WithRunningTimeout(context.Background(), 2*time.Second)
	defer cancel()
	call, cancelCall := WithLimits(context.Background(), Limits{Answer: 2 * time.Second, Stall: never})
	defer cancelCall()
	suspend(t, 2500*time.Millisecond)
	time.Sleep(200 * time.Millisecond)
	is.NoErr(ctx.Err())
	is.NoErr(call.Err())
	is.Equal(ended(t, ctx), context.DeadlineExceeded)
	is.Equal(ended(t, call), context.DeadlineExceeded)
}

// Guards against a timer that expires after it was stopped, or at the end of a time that was replaced.
func TestARunningTimerCanBeStoppedAndReset(t *testing.T) {
	is := is.New(t)
	expired := make(chan struct{}, 3)
	timer := AfterRunning(500*time.Millisecond, func() { expired <- struct{}{} })
	timer.Stop()
	other := AfterRunning(500*time.Millisecond, func() { expired <- struct{}{} })
	other.Reset(never)
	time.Sleep(time.Second)
	is.Equal(len(expired), 0)
	other.Reset(atOnce)
	<-expired
}
