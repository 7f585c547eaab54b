"""Emulators of the platform's state service and cloud, for a cluster on one machine."""
