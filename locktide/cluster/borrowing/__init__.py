"""Idle quota lent to members of other quotas, and revoked once its own demand returns."""
