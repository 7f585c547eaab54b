"""Job descriptions: what a user writes, checked before anything is submitted."""
