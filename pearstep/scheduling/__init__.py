"""Scheduling algorithms over free resources: backfilling, placement, quotas, fault attribution."""
