"""Requests of callers: identity, quotas, ledger and handover to guards."""
