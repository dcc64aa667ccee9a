"""Who holds the fleet: rows written by each dispatcher, merged alike at all, and the shares that follow."""
