"""Processes that accept, schedule and run jobs through a shared row store."""
