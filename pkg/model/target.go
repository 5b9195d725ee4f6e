package model

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/errs"
)

// The bounds of a target's announcement.
const (
	MaxSlots = 100_000
	// IncarnationBits is the number of bits of an incarnation. A start time in milliseconds takes
	// 41 bits until the year 2039, and 42 until 2109.
	IncarnationBits = 42
	// MaxSequence is the highest sequence number: that of a target that announces itself ten times
	// a second for 13 years.
	MaxSequence = 1 << 32
	// AnnouncementDelay is an allowance for the delay of an announcement on its way from the target to a
	// VM that sends requests: a target counts as cold for that much longer.
	AnnouncementDelay = 500 * time.Millisecond
)

// CheckSequence returns an error if a sequence number is out of range.
func CheckSequence(n uint64) error {
	if n > MaxSequence {
		return errs.Newf("model.CheckSequence", KindInvalid, "sequence %d is over %d", n, uint64(MaxSequence))
	}
	return nil
}

// Check returns an error if an announcement does not describe a target that can get requests. A
// target that is gone needs a valid name only.
func (t Target) Check() error {
	if err := t.check(); err != nil {
		return errs.New("model.Check", KindInvalid, err)
	}
	return nil
}

func (t Target) check() error {
	if err := checkName(string(t.ID)); err != nil {
		return err
	}
	if t.Incarnation >= 1<<IncarnationBits {
		return fmt.Errorf("incarnation %d is not below 2^%d", t.Incarnation, IncarnationBits)
	}
	switch t.State {
	case TargetGone:
		return nil
	case TargetReady, TargetDraining:
	default:
		return fmt.Errorf("state %q is not known", t.State)
	}
	switch {
	case t.Service == "" || t.FailureDomain == "":
		return fmt.Errorf("service %q or failure domain %q is missing", t.Service, t.FailureDomain)
	case t.Slots < 1 || t.Slots > MaxSlots:
		return fmt.Errorf("slots is %d, not from 1 to %d", t.Slots, MaxSlots)
	case t.ColdMillis < 0 || t.ColdMillis > maxMillis:
		return fmt.Errorf("coldMillis is %d, not from 0 to %d", t.ColdMillis, maxMillis)
	}
	return checkTargetAddr(t.Addr)
}

// checkTargetAddr checks that an address is the IP and port of one host.
func checkTargetAddr(addr string) error {
	a, err := netip.ParseAddrPort(addr)
	if err != nil || a.Port() == 0 {
		return fmt.Errorf("address %q is not IP:PORT with a port from 1 to 65535", addr)
	}
	if a.Addr().IsUnspecified() || a.Addr().IsMulticast() {
		return fmt.Errorf("address %q is not that of one host", addr)
	}
	return nil
}
