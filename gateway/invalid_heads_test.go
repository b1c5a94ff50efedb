package gateway_test

import (
	"fmt"
	"net/http"
	"testing"

	standin "aspenyard.example/standin/platform"
)

// Guards against passing on a response whose head is not one: a status out of range, or a field name with a blank or a control
// byte, whose line or whose body would not be what the endpoint sent.
func TestAResponseWithAnInvalidHeadIsNotPassedOn(t *testing.T) {
	for _, route := range cutRoutes[:4] {
		for _, left := range []int{0, 1} {
			t.Run(fmt.Sprintf("%s/%d attempts left", route.name, left), func(t *testing.T) {
				t.Parallel()
				s := newCutFixture(t, &route, 1+left, false)
				each(standin.InvalidHeads(), func(h standin.InvalidHead) {
					id, got, arrivals := s.send(h.Fault())
					s.check(t, id, got, arrivals, 1)
				})
			})
		}
	}
}

// resetRounds is how often each early response is reset: whether the write of the request or the read of the response sees the
// reset first differs.
const resetRounds = 3

// Guards against passing on as whole a part of a response that has no length, whose connection is reset while the request is still
// written: the write may take the error of the reset, after which the read sees an ordinary end.
func TestAnEarlyResponseResetDuringTheUploadIsNotWhole(t *testing.T) {
	for _, route := range cutRoutes[:4] {
		places := []standin.CutPlace{standin.CutAfterHead, standin.CutBeforeLastByte}
		if route.events > 0 {
			places = []standin.CutPlace{standin.CutAfterHead, standin.CutAfterFirstEvent}
		}
		for _, left := range []int{0, 1} {
			t.Run(fmt.Sprintf("%s/%d attempts left", route.name, left), func(t *testing.T) {
				t.Parallel()
				s := newCutFixture(t, &route, 1+left, false)
				s.limits["max_body_bytes"], s.bodyBytes = 16<<20, 8<<20
				s.configure()
				s.waitFor("the limit is in force", func() bool {
					_, got, _ := s.send()
					return got.status == http.StatusOK
				})
				var cuts []standin.Cut
				for _, place := range places {
					for _, wait := range []standin.CutWait{"", standin.WaitLast} {
						for range resetRounds {
							cuts = append(cuts, standin.Cut{Form: standin.CutFormUnframed, Place: place, Early: true, Reset: true, Wait: wait})
						}
					}
				}
				for len(cuts) > 0 {
					batch := cuts[:min(len(cuts), 2)] // the gateway holds no more
					each(batch, func(c standin.Cut) {
						id, got, arrivals := s.send(c.Fault())
						s.check(t, id, got, arrivals, 1)
					})
					cuts = cuts[len(batch):]
				}
			})
		}
	}
}
