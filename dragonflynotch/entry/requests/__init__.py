"""Requests of callers: identity, quotas, ledger, hand-over."""
