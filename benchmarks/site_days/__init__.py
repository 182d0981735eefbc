"""Plays days of a site with several seeds and compares two sets of plays."""
