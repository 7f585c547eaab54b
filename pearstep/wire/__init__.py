"""Messages on the wire. The protocol's own names for things appear in this package only."""
