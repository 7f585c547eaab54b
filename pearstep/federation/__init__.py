"""Clusters that lend one another work: the handoff, the view of a peer, and what is lent to whom."""
