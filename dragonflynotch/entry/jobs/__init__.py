"""Jobs: interface, records and overview."""
