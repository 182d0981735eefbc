"""Stand-ins for the platform's services and back ends."""
