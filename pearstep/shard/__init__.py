"""What the owner of a shard decides for the machines of its shard."""
