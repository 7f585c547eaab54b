"""Links to neighbours, shared by everything that runs: HTTP, budgets, the state service, the clocks."""
