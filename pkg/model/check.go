package model

import "fmt"

// check validates the objects and the references between them.
func (c *Catalogue) check() error {
	checks := []func() error{
		c.checkDomainsAndServices, c.checkLinks, c.checkClasses, c.checkCaps, c.checkPolicies, c.checkDrains,
	}
	for _, f := range checks {
		if err := f(); err != nil {
			return err
		}
	}
	return nil
}

func (c *Catalogue) requireRegion(key string, r RegionID) error {
	if _, ok := c.Regions[r]; !ok {
		return fmt.Errorf("%s: region %q does not exist", key, r)
	}
	return nil
}

func (c *Catalogue) requireService(key string, s ServiceID) error {
	if _, ok := c.Services[s]; !ok {
		return fmt.Errorf("%s: service %q does not exist", key, s)
	}
	return nil
}

func (c *Catalogue) checkDomainsAndServices() error {
	for _, x := range c.Domains {
		if err := c.requireRegion("failureDomain/"+string(x.Name), x.Region); err != nil {
			return err
		}
	}
	for _, x := range c.Services {
		if x.WarmUpMillis < 0 || x.WarmUpMillis > maxMillis {
			return fmt.Errorf("service/%s: warmUpMillis is not from 0 to %d", x.Name, maxMillis)
		}
	}
	return nil
}

func (c *Catalogue) checkLinks() error {
	for _, x := range c.Links {
		key := "link/" + x.Name
		for _, r := range x.Regions {
			if err := c.requireRegion(key, r); err != nil {
				return err
			}
		}
		if x.Regions[0] == x.Regions[1] {
			return fmt.Errorf("%s: joins region %q with itself", key, x.Regions[0])
		}
		if x.BytesPerSecond <= 0 {
			return fmt.Errorf("%s: bytesPerSecond is not above 0", key)
		}
		if x.DelayMillis < 0 || x.DelayMillis > maxMillis {
			return fmt.Errorf("%s: delayMillis is not from 0 to %d", key, maxMillis)
		}
	}
	return nil
}

func (c *Catalogue) checkClasses() error {
	for s, m := range c.Classes {
		for n, x := range m {
			key := fmt.Sprintf("class %q of service %q", n, s)
			if err := c.requireService(key, s); err != nil {
				return err
			}
			if err := x.check(); err != nil {
				return fmt.Errorf("%s: %w", key, err)
			}
		}
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

func (c *Catalogue) checkCaps() error {
	for _, x := range c.Caps {
		key := "shiftCap/" + x.Name
		if err := c.requireService(key, x.Service); err != nil {
			return err
		}
		for _, r := range []RegionID{x.From, x.To} {
			if r == "" {
				continue
			}
			if err := c.requireRegion(key, r); err != nil {
				return err
			}
		}
		if x.PerSecond < 0 {
			return fmt.Errorf("%s: perSecond is negative", key)
		}
	}
	return nil
}

func (c *Catalogue) checkPolicies() error {
	for _, x := range c.Policies {
		key := "policy/" + string(x.Name)
		if err := c.requireService(key, x.Service); err != nil {
			return err
		}
		if _, ok := c.Class(x.Service, x.Class); x.Class != "" && !ok {
			return fmt.Errorf("%s: class %q of service %q does not exist", key, x.Class, x.Service)
		}
		switch x.Algorithm {
		case Nearest, RoundRobin, LeastLoaded, Headroom:
		default:
			return fmt.Errorf("%s: algorithm %q does not exist", key, x.Algorithm)
		}
		if x.Weight < 0 || x.LinkPrice < 0 || x.HedgeMillis < 0 {
			return fmt.Errorf("%s: weight, linkPriceMillis and hedgeMillis must not be negative", key)
		}
	}
	return nil
}

func (c *Catalogue) checkDrains() error {
	for _, x := range c.Drains {
		key := "drain/" + x.Name
		n := 0
		if x.Region != "" {
			n++
			if err := c.requireRegion(key, x.Region); err != nil {
				return err
			}
		}
		if x.FailureDomain != "" {
			n++
			if _, ok := c.Domains[x.FailureDomain]; !ok {
				return fmt.Errorf("%s: failure domain %q does not exist", key, x.FailureDomain)
			}
		}
		if x.Target != "" {
			n++
		}
		if n != 1 {
			return fmt.Errorf("%s: names %d of region, failureDomain and target; must be one", key, n)
		}
	}
	return nil
}
