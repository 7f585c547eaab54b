"""The whole cluster on one machine: its folder, its settings, its processes."""
