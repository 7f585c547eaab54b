"""HTTP, rate limits, the client of the key-value store, clocks, background tasks and logs."""
