package directory

// ServicesWithPriorities returns the services to which routes of different priorities lead, so that
// some of their requests are more urgent than others.
func (c *Config) ServicesWithPriorities() map[string]bool {
	first, differ := map[string]int{}, map[string]bool{}
	for _, list := range c.routes {
		for _, r := range list {
			for _, weighted := range r.Services {
				if weighted.Weight <= 0 {
					continue
				}
				priority, found := first[weighted.Service]
				if !found {
					first[weighted.Service] = r.Priority
				}
				if found && priority != r.Priority {
					differ[weighted.Service] = true
				}
			}
		}
	}
	return differ
}
