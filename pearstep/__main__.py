"""``python -m pearstep``."""

from .cli.main import main

main()
