"""Validated models of settings files, stored rows and HTTP bodies."""
