"""Clients of pearstep: of the controllers and of the archive."""
