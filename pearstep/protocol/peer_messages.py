"""Messages between the controllers of a cluster: paths, and parameters of the status query.

The types of the messages are in ``pearstep.controller.peers``.
"""

PEER_STATUS_PATH = "/mesh/status"
PEER_CANCELLATIONS_PATH = "/mesh/ends"
PEER_QUERY_CLOUD, PEER_QUERY_AGENTS, PEER_QUERY_AFTER = "cloud", "workers", "after"
