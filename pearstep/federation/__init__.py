"""Offloading of jobs between clusters: handoff, health of peers, and selection of offloads."""
