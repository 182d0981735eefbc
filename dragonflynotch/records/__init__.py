"""Validated models at the border: settings, records and HTTP bodies."""
