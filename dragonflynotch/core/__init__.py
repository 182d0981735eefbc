"""Pure decisions: no I/O, no asyncio, no clock or random source of its own."""
