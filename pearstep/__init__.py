"""pearstep, a cluster scheduler with self-adapting backfilling."""

__version__ = "0.1.0"
