"""Borrowing: idle parts of a quota are lent to other quotas, and revoked once its own demand returns."""
