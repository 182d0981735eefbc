"""Configuration: storage, replication to guards, operator interface."""
