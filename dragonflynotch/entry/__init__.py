"""The entry daemon: request routing and scheduling for a data centre."""
