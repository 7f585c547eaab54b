"""What a controller node carries: nothing of the archive, the worker, the stand-ins or their libraries."""

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
ORDER = ["core", "history", "wire", "links", "node", "jobs", "archive", "client", "federation"]
ORDER += ["compacting", "worker", "standin", "local", "cli"]


def test_a_node_imports_nothing_of_what_it_does_not_run():
    code = (
        "import sys, pearstep.cli.node, pearstep.node.controller\n"
        "print(' '.join(sorted(m for m in sys.modules if m.startswith('pearstep.') or '.' not in m)))"
    )
    out = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True
    ).stdout
    loaded = set(out.split())
    packages = {m.split(".")[1] for m in loaded if m.startswith("pearstep.")}
    assert packages == {"cli", "core", "links", "node", "wire"}
    assert not loaded & {
        "structlog",
        "prometheus_client",
        "zstandard",
        "xxhash",
        "sqlite3",
        "sortedcontainers",
    }
    assert "pearstep.wire.agent" not in loaded and "pearstep.wire.standin" not in loaded


def test_no_import_runs_upward():
    wrong = []
    for file in (ROOT / "pearstep").rglob("*.py"):
        parts = file.relative_to(ROOT / "pearstep").parts
        if len(parts) < 2:
            continue
        for line in file.read_text().splitlines():
            text = line.strip()
            if text.startswith("from .."):
                target = text[len("from ..") :].split()[0].split(".")[0]
                if target in ORDER and ORDER.index(target) > ORDER.index(parts[0]):
                    wrong.append(f"{'/'.join(parts)}: {text}")
    # The protocol's messages speak of the core's kinds, and the core of no messages.
    assert wrong == []
