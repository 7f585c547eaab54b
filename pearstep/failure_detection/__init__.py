"""Failure detection of a controller: timeouts, replica staleness, reachability of neighbours."""
