"""Exchange of membership and configuration with the other entries."""
