"""Adapter to the users' platform: its settings, its wire and its programs."""
