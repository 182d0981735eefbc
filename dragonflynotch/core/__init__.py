"""Decision logic: no I/O, no asyncio; time and randomness are passed in."""
