package model

import "fmt"

func (c *Catalogue) checkRegion(r RegionID) error {
	if _, ok := c.Regions[r]; !ok {
		return fmt.Errorf("region %q does not exist", r)
	}
	return nil
}

func (c *Catalogue) checkService(s ServiceID) error {
	if _, ok := c.Services[s]; !ok {
		return fmt.Errorf("service %q does not exist", s)
	}
	return nil
}

func (s *Service) check() error {
	if s.WarmUpMillis < 0 || s.WarmUpMillis > maxMillis {
		return fmt.Errorf("warmUpMillis is not from 0 to %d", maxMillis)
	}
	return nil
}

func (c *Catalogue) checkLink(x Link) error {
	for _, r := range x.Regions {
		if err := c.checkRegion(r); err != nil {
			return err
		}
	}
	if x.Regions[0] == x.Regions[1] {
		return fmt.Errorf("joins region %q with itself", x.Regions[0])
	}
	if x.BytesPerSecond <= 0 {
		return fmt.Errorf("bytesPerSecond is not above 0")
	}
	if x.DelayMillis < 0 || x.DelayMillis > maxMillis {
		return fmt.Errorf("delayMillis is not from 0 to %d", maxMillis)
	}
	return nil
}

func (x Class) check() error {
	switch x.Delivery {
	case Idempotent, AtMostOnce, Deferrable:
	default:
		return fmt.Errorf("delivery %q is not idempotent, atMostOnce or deferrable", x.Delivery)
	}
	if x.DeadlineMillis <= 0 || x.DeadlineMillis > maxMillis {
		return fmt.Errorf("deadlineMillis is not from 1 to %d", maxMillis)
	}
	if x.MaxRequestBytes <= 0 || x.MaxAnswerBytes <= 0 {
		return fmt.Errorf("maxRequestBytes and maxAnswerBytes must be above 0")
	}
	if x.MaxQueued < 0 {
		return fmt.Errorf("maxQueued is negative")
	}
	if x.ObjectiveMillis <= 0 || x.Objective <= 0 || x.Objective >= 1 {
		return fmt.Errorf("objectiveMillis must be above 0 and objective between 0 and 1")
	}
	return nil
}

func (c *Catalogue) checkCap(x ShiftCap) error {
	if err := c.checkService(x.Service); err != nil {
		return err
	}
	for _, r := range []RegionID{x.From, x.To} {
		if r == "" {
			continue
		}
		if err := c.checkRegion(r); err != nil {
			return err
		}
	}
	if x.PerSecond < 0 {
		return fmt.Errorf("perSecond is negative")
	}
	return nil
}

func (c *Catalogue) checkPolicy(x Policy) error {
	if err := c.checkService(x.Service); err != nil {
		return err
	}
	if _, ok := c.Class(x.Service, x.Class); x.Class != "" && !ok {
		return fmt.Errorf("class %q of service %q does not exist", x.Class, x.Service)
	}
	switch x.Algorithm {
	case Nearest, RoundRobin, LeastLoaded, Headroom:
	default:
		return fmt.Errorf("algorithm %q does not exist", x.Algorithm)
	}
	if x.Weight < 0 || x.LinkPrice < 0 || x.HedgeMillis < 0 {
		return fmt.Errorf("weight, linkPriceMillis and hedgeMillis must not be negative")
	}
	return nil
}

func (c *Catalogue) checkDrain(x Drain) error {
	n := 0
	if x.Region != "" {
		n++
		if err := c.checkRegion(x.Region); err != nil {
			return err
		}
	}
	if x.FailureDomain != "" {
		n++
		if _, ok := c.Domains[x.FailureDomain]; !ok {
			return fmt.Errorf("failure domain %q does not exist", x.FailureDomain)
		}
	}
	if x.Target != "" {
		n++
	}
	if n != 1 {
		return fmt.Errorf("names %d of region, failureDomain and target; must be one", n)
	}
	return nil
}
