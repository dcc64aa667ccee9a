"""Who is alive."""
