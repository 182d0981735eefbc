"""Interfaces of services and machines, with their HTTP clients."""
