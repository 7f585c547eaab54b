"""Stand-ins for the platform, the machines and the users, in one process on loopback addresses."""
