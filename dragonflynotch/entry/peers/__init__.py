"""Exchange with the other entries."""
