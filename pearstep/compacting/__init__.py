"""History's place in a controller: finished jobs leave their records while the service runs, and are told of
all the same."""
