"""Guards and entries that are live, and those that leave."""
