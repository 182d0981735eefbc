"""Membership: live guards and entries, draining, readiness."""
