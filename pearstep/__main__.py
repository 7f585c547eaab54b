"""``python -m pearstep``."""

from pearstep.cli.main import main

main()
