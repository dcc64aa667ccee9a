"""The accord under faults: many members in virtual time, or as processes on loopback, and who checks them."""
