"""Stand-ins for the platform's services, minions and workers, for tests."""
