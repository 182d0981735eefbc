"""The entry daemon: callers, operators, routing, scheduling ownership."""
