"""Runs on workers: their orders, progress, ends and failures."""
