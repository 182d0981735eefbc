"""Jobs: HTTP interface, records in the table service, overview."""
