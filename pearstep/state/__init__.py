"""The records in the key-value store, and this node's replica of them."""
