"""Stand-ins for the users' platform, and processes of the system."""
