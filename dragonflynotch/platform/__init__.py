"""Adapter to the users' platform: settings, wire formats and programs.

The platform starts two programs and fixes their names. ``front`` serves the
callers and competes for the scheduling lease; ``side`` is the sidecar process
that guards the minion on its machine.
"""
