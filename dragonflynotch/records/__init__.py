"""Validated models at the system boundary: settings, records, HTTP bodies."""
