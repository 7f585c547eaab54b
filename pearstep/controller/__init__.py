"""A controller process: the pure packages joined to sockets and timers."""
