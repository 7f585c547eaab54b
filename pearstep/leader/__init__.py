"""The decisions of the leader: the routes of jobs to shards, and the size of the fleet."""
