"""Benchmarks and soak test, which are run by hand."""
