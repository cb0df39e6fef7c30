package control

// SharesUsable says that this entry's shares of the allowances can be used.
type SharesUsable struct{}

func (SharesUsable) apply(c *Control) {
	c.awaitShares = false
	c.publish()
}

// AwaitShares keeps the entry from being ready until SharesUsable arrives. It
// must be called before Serve.
func (c *Control) AwaitShares() { c.awaitShares = true }
