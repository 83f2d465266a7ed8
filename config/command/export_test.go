package command

// SetMaxEmbedded makes documents hold fewer audit records, so that tests reach
// the archive after few changes.
func (c *Commands) SetMaxEmbedded(n int) { c.maxEmbedded = n }
