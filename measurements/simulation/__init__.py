"""Several machines that fail, in one process: the node's unchanged code on an event loop with a virtual clock
and connections in memory, beside simulated workers, users, cloud and state service. One seed, one trace.
"""
