"""Stand-ins for the platform's cloud and state service, for a cluster on one machine."""
