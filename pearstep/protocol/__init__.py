"""Messages on the wire; names of the protocol that differ from the code's appear only here."""
