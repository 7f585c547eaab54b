"""Start the service from a checkout: find the built libraries, then hand over to the command line."""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent
sys.dont_write_bytecode = False
sys.path[:0] = [str(ROOT), str(ROOT / "target" / "deps")]

from pearstep.cli.node import main  # noqa: E402

if __name__ == "__main__":
    main()
