"""Promela models of the core protocol and the program that checks them."""
