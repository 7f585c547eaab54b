"""A controller node: sockets and timers round the core."""
