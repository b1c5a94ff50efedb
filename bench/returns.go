package bench

import (
	"time"

	"google.golang.org/protobuf/proto"

	"aspenyard.example/admission"
	"aspenyard.example/wire"
)

const (
	// benchPromises is the number of promises that an entry keeps at most, and benchReports the number
	// that a heartbeat carries.
	benchPromises = 4096
	benchReports  = 64
)

// returnCosts measures the promises to refused callers: their memory, one decision, the recognition
// of a request and the bytes in a heartbeat.
func returnCosts() ([]Cost, error) {
	now := time.Now()
	request := func(key uint64) admission.ReturnRequest {
		return admission.ReturnRequest{Key: key, Service: "s", Tier: 1, Cause: admission.CauseCapacity, Earliest: 300 * time.Millisecond, Cost: 100 * time.Millisecond, Remaining: 10 * time.Second}
	}
	fill := func() *admission.Returns {
		returns := admission.NewReturns(now, "entry-0")
		returns.SetCapacity(now, "s", 60)
		for key := range uint64(benchPromises) {
			returns.Promise(now, request(key+1))
		}
		return returns
	}
	kept := heapGrowth(func() any { return fill() })
	full, moment, key := fill(), now, uint64(benchPromises)
	decision := microsPerCall(func() {
		key++
		moment = moment.Add(time.Millisecond)
		full.Promise(moment, request(key))
	})
	check := microsPerCall(func() { key++; full.Check(moment, key) })
	var heartbeat wire.Heartbeat
	for _, report := range fill().Reports(now, false, benchReports) {
		heartbeat.ReturnKeys = append(heartbeat.ReturnKeys, report.Key)
		heartbeat.ReturnInMs = append(heartbeat.ReturnInMs, uint32(report.Left.Milliseconds()))
	}
	data, err := proto.Marshal(&heartbeat)
	return []Cost{
		{Name: "promises to refused callers", Size: "4096 promises", HeapBytes: kept},
		{Name: "time that a refused caller is told", Size: "4096 promises", Microseconds: decision},
		{Name: "recognising a returning request", Size: "4096 promises", Microseconds: check},
		{Name: "promises in a heartbeat", Size: "64 promises", Bytes: len(data)},
	}, err
}
