"""The worker: one agent per machine, which runs tasks as processes and brings their logs to the archive."""
