package spill

import "time"

const (
	// minInterval is the least time between two changes of a share. The effect of a change shows after the time
	// of an answer.
	minInterval = 250 * time.Millisecond
	// maxInterval is the time after which a share may change with fewer than minCalls calls.
	maxInterval = time.Second
	minCalls    = 4
	// maxStep bounds the growth of a share in one change, so that the daemons of a data centre see the effect on the
	// other side before they send more.
	maxStep = 0.2
	// stepPerLoss is the growth of a share as a multiple of the value lost at home.
	stepPerLoss = 1
	// downShare is the part by which a share decreases in one change, at least downStep.
	downShare = 0.2
	downStep  = 0.03
	// shortLoss is the share of value lost at home below which a share does not grow, and shortSlots the share of
	// attempts that find a slot at home above which it does not grow: answers that are late there are not late because
	// of a lack of slots.
	shortLoss  = 0.1
	shortSlots = 0.3
	// slowLoss is the loss from which a share grows in spite of free slots: the servers are slow.
	slowLoss = 0.3
	// roomSlots is the share of attempts that find a slot at home above which a share decreases. Between shortSlots
	// and roomSlots it is constant.
	roomSlots = 0.5
)

// class holds the state for one service and size class.
type class struct {
	distances [distances]found
	slots     float64 // moving average of the attempts at home that find a free slot
	bytes     float64 // moving average of the size of an answer; zero: not known
	share     float64 // of the calls that may leave

	reported time.Time // time of the last change that was reported
	leaving  bool      // as reported
	stepped  time.Time
	calls    int     // that ended at home since stepped
	lost     float64 // value lost by these calls
	short    bool    // home was short at stepped
}

func newClass(now time.Time) *class {
	k := &class{slots: 1, stepped: now}
	for d := range k.distances {
		k.distances[d] = newFound()
	}
	return k
}

// gain returns the gain in value if a call leaves for distance d and makes room for one at home that is not answered
// in time otherwise, minus the price.
func (k *class) gain(d int, price float64, now time.Time) float64 {
	return k.distances[d].value(now)*k.relief(d, now) - lateValue*k.distances[0].lateShare() - price
}

// worth returns the share of the calls refused at home that may go to distance d. It decreases to the share of probes as
// the answers from there get late or lost, such as on a full path. With the third power, two of five answers came after the
// deadline on a path of 20 Mbit/s (model, case 5); in proportion to the value it was three of five.
func (k *class) worth(d int, price float64, now time.Time) float64 {
	w := max(0, (k.distances[d].value(now)-price)/max(probeShare, 1-price))
	return max(probeShare, w*w*w)
}

// relief returns how far a call that leaves for distance d delays fewer calls than at home: 1 if there is a free slot, 0 if
// the other side is as full as home.
func (k *class) relief(d int, now time.Time) float64 {
	room := k.distances[d].roomAt(now)
	lead := (room - k.distances[0].roomAt(now) - minLead) / (enoughLead - minLead)
	return min(1, max(0, lead, room/enoughRoom))
}

// step changes the share of calls that may leave, if it is time.
func (k *class) step(cfg *Config, now time.Time) {
	elapsed := now.Sub(k.stepped)
	if elapsed < minInterval || elapsed < maxInterval && k.calls < minCalls {
		return
	}
	loss := 0.0
	if k.calls > 0 {
		loss = k.lost / float64(k.calls)
	}
	k.short = loss > slowLoss || loss > shortLoss && k.slots < shortSlots
	room := 0.0
	for d := 1; d < distances; d++ {
		if k.gain(d, cfg.price(d, k.bytes), now) > 0 {
			room = max(room, k.relief(d, now))
		}
	}
	switch {
	case room <= 0 || !k.short && k.slots > roomSlots:
		k.share = max(0, k.share-max(downStep, downShare*k.share))
	case k.short:
		k.share = min(1, k.share+room*min(maxStep, stepPerLoss*loss))
	}
	k.stepped, k.calls, k.lost = now, 0, 0
}

// reportInterval is the least time between two reported changes of a class.
const reportInterval = 10 * time.Second

// change returns a change that is to be reported.
func (k *class) change(now time.Time) Change {
	if leaving := k.share > 0; leaving == k.leaving || !k.reported.IsZero() && now.Sub(k.reported) < reportInterval {
		return NoChange
	}
	k.leaving, k.reported = !k.leaving, now
	if k.leaving {
		return Leaves
	}
	return Returns
}

func (k *class) observeSlot(free bool) {
	x := 0.0
	if free {
		x = 1
	}
	k.slots += averageWeight * (x - k.slots)
}
