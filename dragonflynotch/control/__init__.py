"""Processes that accept, schedule and run jobs over a shared row store."""
