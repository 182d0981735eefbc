"""The guard daemon, one beside each target."""
