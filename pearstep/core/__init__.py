"""The core: pure decisions, driven by events that carry a time, without input or output."""
