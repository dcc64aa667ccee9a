"""Parts of budgets: divided by one member at a time, held as leases."""
