"""Model of the core protocol and the checks that run it."""
