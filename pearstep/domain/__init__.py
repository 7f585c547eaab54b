"""Domain model: jobs, machine types, resources, and the state machines of attempts and gangs; no I/O."""
