package entry

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"aspenyard.example/result"
	"aspenyard.example/wire"
)

// Guards against a call whose outcome counts as unknown for good because its agent has ended between the reservation and
// the run request, which was never sent.
func TestACallThatCannotBeSentToAnAgentThatHasEndedRunsAtAnother(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startEntry(t, time.Minute)
	gone := f.startAgent("a1", silent)
	var once sync.Once
	var other *scriptedAgent
	f.store.beforeWrite = func() {
		once.Do(func() { // the claim is written after the reservation and before the run request
			other = f.startAgent("a2", answering)
			_ = gone.server.Close()
			awaitCondition(t, "the agent's connections are closed", func() bool {
				_, err := f.entry.clients.Agent(gone.addr).Withdraw(context.Background(), connect.NewRequest(&wire.WithdrawRequest{Peek: true}))
				var refused *net.OpError
				return errors.As(err, &refused) && refused.Op == "dial"
			})
		})
	}
	got := f.await(f.send(rawRequest(filingPath, "k1", `{}`)))
	is.NoErr(got.err)
	is.Equal(got.resultCode(), result.OK)
	is.Equal(other.arrived.Load(), int64(1))
	is.Equal(gone.arrived.Load(), int64(0))
}
