package admission

import (
	"math"
	"time"
)

// EntryResource is what an entry can run short of.
type EntryResource int

// The resources. Processor, LinkReceived and LinkSent decide on new requests, Descriptors and Memory on
// connections; what is held in memory for requests is bounded by a ByteAccount.
const (
	Processor EntryResource = iota
	LinkReceived
	LinkSent
	Descriptors
	Memory
	ResourceCount = 5
)

// String returns the resource's name in logs and metrics.
func (r EntryResource) String() string {
	return [ResourceCount]string{"processor", "link_received", "link_sent", "descriptors", "memory"}[r]
}

const (
	// MeasureInterval is the time between two measurements of an entry's resources.
	MeasureInterval = 100 * time.Millisecond
	// pressureWindow is the time constant of the averaged pressure. Bursts of a few hundred milliseconds, such
	// as a garbage collection or a single large body, do not refuse requests; a load that triples does.
	pressureWindow = time.Second
	// saturation is the use of a limit from which waiting work counts. Below it, work waits for another
	// reason: a timer for the host's other processes, bytes for a slow caller.
	saturation = 0.9
	// saturationMeasurements is how many measurements have to show that use together, fewer if they are late and
	// cover saturationTime. An operating system that enforces a limit gives out processor time in periods of about
	// MeasureInterval, so that single measurements show none or that of two.
	saturationMeasurements = 4
	saturationTime         = 350 * time.Millisecond
	// lateTimer is how late a timer fires at a saturated processor when twice its capacity is asked for. Each
	// event is relayed as late. With less, an entry whose callers triple refuses more than needed; with more, one
	// that becomes much slower refuses too late (docs/design/uneven-load.md).
	lateTimer = 100 * time.Millisecond
	// usualLateness is how late timers are at a processor that is used in full and can serve all that is asked for.
	usualLateness = 10 * time.Millisecond
	// waitingBytes is how long a saturated link takes for what waits for it when twice its capacity is asked
	// for. Streams have their events in the same buffers, so that their pauses grow by it.
	waitingBytes = 250 * time.Millisecond
	// maxWaiting bounds what waiting work adds to a measurement. With less, entries that become much slower serve
	// their backlog late for seconds.
	maxWaiting = 2
	// payloadShare is the payload's part of what a link transmits. Headers take more of packets with single events than
	// of full ones.
	payloadShare = 0.9
	// reliefFactor is by how much faster the pressure above 1 falls while the resource is not saturated. It
	// rises too far while work that was admitted before still waits, and capacity is idle until it has fallen.
	reliefFactor = 3
	// reliefPressure is the pressure below which a pressed resource is relieved.
	reliefPressure = 0.9
	// maxPressure bounds the pressure, at which one request in 32 is admitted: an entry goes on
	// serving, and after a load that has ended it is relieved within four seconds.
	maxPressure = 32
)

// EntryLimits are the limits of an entry's resources; those that are 0 are not considered.
type EntryLimits struct {
	// Cores is the processor time a second, in seconds.
	Cores float64
	// LinkBytes is the number of bytes a second in each direction.
	LinkBytes float64
}

// EntryUse is what an entry has used since the measurement before.
type EntryUse struct {
	// Elapsed is the time since then.
	Elapsed time.Duration
	// Processor is the processor time; negative if it could not be measured.
	Processor time.Duration
	// TimerLate is how much later than requested the timer of this measurement has fired.
	TimerLate time.Duration
	// Received and Sent are bytes of callers' and endpoints' connections.
	Received, Sent int64
	// ReceiveWaiting and SendWaiting are bytes that are announced and not yet received, and bytes that callers
	// have not taken.
	ReceiveWaiting, SendWaiting int64
}

// PressureChange is the beginning or end of a resource's pressure.
type PressureChange struct {
	Resource EntryResource
	Pressed  bool
	Pressure float64
}

// EntryPressure decides how many new requests an entry refuses because its own processor or link has no
// capacity for them. It is not safe for concurrent use.
//
// The pressure of a resource is what is asked of it, as a multiple of its limit. While requests are refused,
// only the use by admitted ones can be measured: the use at a pressure p is multiplied by p, as one request
// in p is admitted. An error of this estimate does not last, because the pressure changes until the use
// equals the limit.
type EntryPressure struct {
	limits   EntryLimits
	pressure [ResourceCount]float64
	pressed  [ResourceCount]bool
	recent   [ResourceCount][saturationMeasurements]measuredUse
	ranks    rankShares
}

// measuredUse is the use of a resource and its limit within one measurement.
type measuredUse struct{ seconds, used, limit float64 }

// NewEntryPressure returns the pressure of an entry with the given limits, which is 0 at first.
func NewEntryPressure(limits EntryLimits) *EntryPressure { return &EntryPressure{limits: limits} }

// Observe updates the pressure by one measurement. A late measurement counts once, as for an entry that was
// suspended it says nothing about its load. It counts for as long as it took if a resource was saturated all that
// time: an entry that is short of processor time measures late too.
func (p *EntryPressure) Observe(use EntryUse) []PressureChange {
	seconds := use.Elapsed.Seconds()
	if seconds <= 0 {
		return nil
	}
	late := (use.TimerLate - usualLateness).Seconds() / lateTimer.Seconds()
	p.observe(seconds, Processor, p.limits.Cores*seconds, use.Processor.Seconds(), late)
	capacity := payloadShare * p.limits.LinkBytes
	waiting := func(bytes int64) float64 { return float64(bytes) / (capacity * waitingBytes.Seconds()) }
	p.observe(seconds, LinkReceived, capacity*seconds, float64(use.Received), waiting(use.ReceiveWaiting))
	p.observe(seconds, LinkSent, capacity*seconds, float64(use.Sent), waiting(use.SendWaiting))
	p.ranks.decay()
	var changes []PressureChange
	for r := range p.pressure {
		value, was := p.pressure[r], p.pressed[r]
		if p.pressed[r] = value > 1 || was && value >= reliefPressure; p.pressed[r] != was {
			changes = append(changes, PressureChange{EntryResource(r), !was, value})
		}
	}
	return changes
}

// observe adds one measurement of a resource, of some seconds, to its average. waiting is the work that waits for it, 1 where twice
// the capacity is asked for.
func (p *EntryPressure) observe(seconds float64, r EntryResource, limit, used, waiting float64) {
	if limit <= 0 || used < 0 {
		p.pressure[r], p.recent[r] = 0, [saturationMeasurements]measuredUse{}
		return
	}
	saturated := p.saturated(r, measuredUse{seconds, used, limit})
	use, weight := used/limit, MeasureInterval.Seconds()/pressureWindow.Seconds()
	if saturated {
		use += min(max(waiting, 0), maxWaiting)
		weight = min(max(weight, seconds/pressureWindow.Seconds()), 1)
	}
	value := p.pressure[r]
	if value > 1 && !saturated {
		weight *= reliefFactor
	}
	p.pressure[r] = min(value+weight*(use*max(value, 1)-value), maxPressure)
}

// saturated adds a measurement of a resource and reports whether the latest ones together show that it is used in
// full.
func (p *EntryPressure) saturated(r EntryResource, latest measuredUse) bool {
	recent := &p.recent[r]
	copy(recent[1:], recent[:])
	recent[0] = latest
	var sum measuredUse
	for i := 0; i < len(recent) && sum.seconds < saturationTime.Seconds(); i++ {
		m := recent[i]
		sum = measuredUse{sum.seconds + m.seconds, sum.used + m.used, sum.limit + m.limit}
	}
	return sum.used >= saturation*sum.limit
}

// SetUse records the use of a resource that does not decide on new requests, as a multiple of its limit.
func (p *EntryPressure) SetUse(r EntryResource, use float64) { p.pressure[r] = use }

// Pressure returns the pressure of a resource.
func (p *EntryPressure) Pressure(r EntryResource) float64 { return p.pressure[r] }

// Highest returns the resource that refuses the most requests, and its pressure.
func (p *EntryPressure) Highest() (EntryResource, float64) {
	highest := Processor
	for r := LinkReceived; r <= LinkSent; r++ {
		if p.pressure[r] > p.pressure[highest] {
			highest = r
		}
	}
	return highest, p.pressure[highest]
}

// Admit decides on a new request. rank is 0 for the most urgent requests and 1 for the least urgent. A share
// of 1 - 1/p of all requests is refused, the least urgent first.
func (p *EntryPressure) Admit(rank float64) bool {
	_, pressure := p.Highest()
	return p.ranks.admit(rank, max(1-1/max(pressure, 1), 0))
}

// rankCount is how many ranks are distinguished.
const rankCount = 32

// rankShares divides a refused share of all requests among their ranks by the number of requests of each that
// arrived within about the last second.
type rankShares struct {
	arrived [rankCount]float64
	errors  [rankCount]float64
}

// decay lets earlier arrivals count less. It is called once in each MeasureInterval.
func (s *rankShares) decay() {
	factor := math.Exp(-float64(MeasureInterval) / float64(pressureWindow))
	for i := range s.arrived {
		s.arrived[i] *= factor
	}
}

// refusedShare returns which part of the requests at a rank is refused, so that a share of all is.
func (s *rankShares) refusedShare(index int, share float64) float64 {
	total, less := 0.0, 0.0
	for i, n := range s.arrived {
		total += n
		if i > index {
			less += n
		}
	}
	return min(max((share*total-less)/s.arrived[index], 0), 1)
}

// admit counts a request and decides on it. Of any n requests of a rank in a row, the number that is refused
// differs from n times the rank's share by less than 1.
func (s *rankShares) admit(rank, share float64) bool {
	index := int(math.Round(min(max(rank, 0), 1) * (rankCount - 1)))
	s.arrived[index]++
	if share <= 0 {
		s.errors[index] = 0
		return true
	}
	s.errors[index] += s.refusedShare(index, share)
	if s.errors[index] >= 1 {
		s.errors[index]--
		return false
	}
	return true
}

// bodyArrivalShare is the part of a caller's remaining time within which a large body must arrive. The rest is
// for the endpoint and the response.
const bodyArrivalShare = 1.0 / 3

// minSending is how long a body must have been under way before its pace says when it arrives.
const minSending = time.Second

// minBodyCapacity is the part of a link that bodies have at least, whatever else it transmits.
const minBodyCapacity = 0.1

// IncomingBody is a large body that is being received.
type IncomingBody struct {
	// Announced is its size in bytes, Received how much of it has arrived in the time Sending.
	Announced, Received int64
	Sending             time.Duration
}

// waiting returns how many bytes of the body use the link within a time. A caller on a slow link of its own sends
// no faster than until now.
func (b *IncomingBody) waiting(within time.Duration) float64 {
	left := float64(max(b.Announced-b.Received, 0))
	if b.Sending < minSending {
		return left
	}
	return min(left, float64(b.Received)*within.Seconds()/b.Sending.Seconds())
}

// LinkTerms is what decides whether a large body can arrive in time.
type LinkTerms struct {
	// LinkBytes is the link's limit in bytes a second, 0 if it has none, and OtherBytes what it receives a
	// second besides large bodies.
	LinkBytes, OtherBytes float64
	// Remaining is the time until the caller's deadline.
	Remaining time.Duration
}

// BodyArrives reports whether a body of the given size can arrive within a third of its caller's remaining time
// beside those that are being received.
func BodyArrives(terms LinkTerms, size int64, incoming []IncomingBody) bool {
	if terms.LinkBytes <= 0 || size <= SmallBody {
		return true
	}
	within := time.Duration(bodyArrivalShare * float64(max(terms.Remaining, 0)))
	capacity := payloadShare * terms.LinkBytes
	bytes := float64(size)
	for i := range incoming {
		bytes += incoming[i].waiting(within)
	}
	return bytes <= max(capacity-terms.OtherBytes, minBodyCapacity*capacity)*within.Seconds()
}

const (
	// fileDescriptors is how many descriptors are kept for files, listeners and monitoring.
	fileDescriptors = 200
	// endpointDescriptors is the part of the other descriptors that is kept at least for connections to endpoints and to the
	// store: a third is enough while half of the callers' connections carry a request.
	endpointDescriptors = 1.0 / 3
	// connectionBytes is the memory that an idle connection of a caller takes (docs/CAPACITY.md), and
	// connectionMemory the part of the memory limit for them, beside held bytes, the idle process and the
	// kernel's buffers.
	connectionBytes  = 23_000
	connectionMemory = 0.25
)

// CallerConnections returns how many connections of callers an entry may have, and the resource that bounds
// them. A limit of 0 is not considered. otherDescriptors is how many are open for anything else, 0 if unknown.
func CallerConnections(descriptorLimit int, memoryLimit int64, otherDescriptors int) (int, EntryResource) {
	most, bounding := math.MaxInt, Descriptors
	if memoryLimit > 0 {
		most, bounding = int(connectionMemory*float64(memoryLimit)/connectionBytes), Memory
	}
	if descriptorLimit > 0 {
		rest := descriptorLimit - fileDescriptors
		kept := max(int(endpointDescriptors*float64(rest)), otherDescriptors-fileDescriptors)
		if n := max(rest-kept, 1); n < most {
			most, bounding = n, Descriptors
		}
	}
	return most, bounding
}
