"""Tries at entries of KNOWN-RED.txt that are no cases."""
